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
import toucanrelay.daemon.entry.dispatch.RunnerParts
import toucanrelay.daemon.settings.EntrySettings
import java.util.concurrent.atomic.AtomicLong

/** The HTTP interface that faces callers. */
internal class CallerServer(
    private val parts: RunnerParts,
    private val settings: EntrySettings,
    private val scope: CoroutineScope,
    val active: ActiveRequests,
) {
    private val keys = BearerKeys()
    private val intake = RequestIntake(parts.context.clock, parts.estimates, settings.requestTimeoutMilliseconds)
    private val bodies = BodyReader(parts.terms.bodyTimeoutMilliseconds, parts.terms.maximumBodiesInHandBytes)
    private val sequence = AtomicLong()
    private var server: HttpServer? = null

    /** Set when new requests are refused because the process is shutting down. */
    @Volatile
    var isRefusingNew: Boolean = false

    /** The port in use. */
    val port: Int
        get() = checkNotNull(server) { "the callers' port is not bound" }.actualPort()

    /** Bytes of callers' bodies that are held now. */
    val bodyBytesInHand: Long
        get() = bodies.bytesInHand

    /** Binds the port; called on the entry's event loop. */
    suspend fun listen() {
        server =
            parts.context.vertx
                .createHttpServer(options())
                .requestHandler(router(parts.context.vertx))
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
            post("/v1/chat/completions").handler { context -> handle(context.request()) { modelCall(it) } }
            get("/v1/models").handler { context ->
                handle(context.request()) { caller -> models(context.request(), caller) }
            }
            route("/services/*").handler { context -> handle(context.request()) { serviceCall(it) } }
            route().handler { context -> refuse(context.request(), RefusalReason.UNKNOWN_POOL) }
        }

    private fun handle(request: HttpServerRequest, serve: suspend CallHandler.(Caller) -> Unit) {
        request.pause()
        val handler = handlerOf(request)
        if (isRefusingNew) return handler.refuse(RefusalReason.SHUTTING_DOWN)
        val caller = handler.identify(keys).getOrElse { return handler.refuse(it.reason) }
        active.entered()
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                handler.serve(caller)
            } catch (cause: CancellationException) {
                throw cause
            } catch (cause: Exception) {
                Logger.error(cause) { "entry: a request failed unexpectedly" }
                handler.refuse(RefusalReason.ANSWER_LOST)
            } finally {
                active.left()
            }
        }
    }

    private fun models(request: HttpServerRequest, caller: Caller) {
        val pools =
            caller.bundle.targets.values
                .flatMap { it.pools }
                .filter { !it.isService && caller.terms.mayUse(it) }
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
        CallHandler(parts, scope, intake, bodies, active, request, nextId())

    private fun nextId(): RequestId {
        val run = parts.context.run
        return RequestId("${run.instance}-${run.incarnation}-${sequence.incrementAndGet()}")
    }

    private companion object {
        const val IDLE_MARGIN_MILLISECONDS = 60_000L
    }
}
