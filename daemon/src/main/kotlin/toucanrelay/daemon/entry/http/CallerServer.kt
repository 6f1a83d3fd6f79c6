package toucanrelay.daemon.entry.http

import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.entry.dispatch.EntryComponents
import toucanrelay.daemon.settings.EntrySettings
import toucanrelay.http.RequestFramingGuard
import java.util.concurrent.atomic.AtomicLong

/** The HTTP server for callers. */
internal class CallerServer(
    private val shared: EntryComponents,
    private val settings: EntrySettings,
    private val scope: CoroutineScope,
    val active: ActiveRequests,
) {
    private val keys = BearerKeys()
    private val intake = RequestIntake(shared.context.clock, shared.estimates, settings.requestTimeoutMilliseconds)
    private val bodies = BodyReader(shared.tuning.bodyTimeoutMilliseconds, shared.tuning.maxBufferedBodyBytes)
    private val sequence = AtomicLong()
    private var server: HttpServer? = null

    /** Whether new requests are refused because the process is shutting down. */
    @Volatile
    var isRefusingNew: Boolean = false

    /** The port that the server is bound to. */
    val port: Int
        get() = checkNotNull(server) { "the port for callers is not bound" }.actualPort()

    /** Total size in bytes of the request bodies in memory. */
    val bufferedBodyBytes: Long
        get() = bodies.bufferedBytes

    /** Binds the port; must be called on the entry's event loop. */
    suspend fun listen() {
        server =
            shared.context.vertx
                .createHttpServer(options())
                .connectionHandler { RequestFramingGuard.attachTo(it) }
                .requestHandler(router(shared.context.vertx))
                .invalidRequestHandler { refuseInvalid(it) }
                .listen(settings.callers.port, settings.callers.host)
                .coAwait()
    }

    suspend fun close() {
        server?.close()?.coAwait()
    }

    private fun options() =
        HttpServerOptions()
            .setTcpNoDelay(true)
            .setHttp2ClearTextEnabled(false)
            .setIdleTimeoutUnit(java.util.concurrent.TimeUnit.MILLISECONDS)
            .setIdleTimeout((settings.requestTimeoutMilliseconds + IDLE_MARGIN_MILLISECONDS).toInt())

    private fun router(vertx: Vertx): Router =
        Router.router(vertx).apply {
            post("/v1/chat/completions").handler { context -> handle(context.request()) { handleModelCall(it) } }
            get("/v1/models").handler { context ->
                handle(context.request()) { caller -> models(context.request(), caller) }
            }
            route("/services/*").handler { context -> handle(context.request()) { handleServiceCall(it) } }
            route().handler { context -> refuse(context.request(), RefusalReason.UNKNOWN_POOL) }
        }

    private fun handle(request: HttpServerRequest, serve: suspend CallHandler.(Caller) -> Unit) {
        request.pause()
        val handler = handlerOf(request)
        if (isRefusingNew) return handler.refuse(RefusalReason.SHUTTING_DOWN)
        val caller = handler.authenticate(keys).getOrElse { return handler.refuse(it.reason) }
        active.recordStart()
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                handler.serve(caller)
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: Exception) {
                Logger.error(cause) { "entry: unexpected failure while handling a request" }
                handler.refuse(RefusalReason.ANSWER_LOST)
            } finally {
                active.recordEnd()
            }
        }
    }

    private fun models(request: HttpServerRequest, caller: Caller) {
        val pools =
            caller.bundle.targets.values
                .flatMap { it.pools }
                .filter { !it.isService && caller.settings.mayUse(it) }
                .distinct()
                .sorted()
        val list =
            buildJsonObject {
                put("object", "list")
                putJsonArray("data") {
                    pools.forEach { pool ->
                        addJsonObject {
                            put("id", pool.name)
                            put("object", "model")
                            put("owned_by", "toucanrelay")
                        }
                    }
                }
            }
        request.resume()
        request.response().putHeader("Content-Type", "application/json").end(list.toString())
    }

    private fun refuse(request: HttpServerRequest, reason: RefusalReason) {
        request.pause()
        handlerOf(request).refuse(reason)
    }

    private fun refuseInvalid(request: HttpServerRequest) {
        refuse(request, RefusalReason.MALFORMED_REQUEST)
        request.connection().close()
    }

    private fun handlerOf(request: HttpServerRequest) =
        CallHandler(shared, scope, intake, bodies, active, request, nextId())

    private fun nextId(): RequestId {
        val run = shared.context.run
        return RequestId("${run.instance}-${run.incarnation}-${sequence.incrementAndGet()}")
    }

    private companion object {
        const val IDLE_MARGIN_MILLISECONDS = 60_000L
    }
}
