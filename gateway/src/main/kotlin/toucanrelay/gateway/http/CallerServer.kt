package toucanrelay.gateway.http

import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.core.overload.RetryDelay
import toucanrelay.core.target.TargetAddress
import toucanrelay.gateway.LoopLag
import toucanrelay.gateway.dispatch.RequestRunner
import toucanrelay.gateway.dispatch.RunnerDependencies
import toucanrelay.platform.PlatformHeaders

/** The HTTP interface that faces callers. */
internal class CallerServer(
    private val vertx: Vertx,
    private val scope: CoroutineScope,
    private val parts: RunnerDependencies,
    private val register: ConfigurationRegister,
    private val loopLag: LoopLag,
) {
    private var server: HttpServer? = null

    /** Requests that are being served. */
    var active: Int = 0
        private set

    /** Whether any request has come. */
    @Volatile
    var hasBeenCalled: Boolean = false
        private set

    /** Whether the process drains, so that connections are closed after their present request. */
    var isDraining: Boolean = false

    /** Whether new requests are refused because too little time is left for them. */
    var isRefusingNew: Boolean = false

    /** Binds [address]. */
    suspend fun listen(address: TargetAddress) {
        server =
            vertx
                .createHttpServer(options())
                .requestHandler { handle(it) }
                .listen(address.port, address.host)
                .coAwait()
    }

    /** Closes all connections. */
    suspend fun close() {
        server?.close()?.coAwait()
    }

    private fun handle(request: HttpServerRequest) {
        val arrivedAt = parts.clock.nowMilliseconds() - unreadMilliseconds()
        val responder = CallerResponder(request) { isDraining }
        active++
        hasBeenCalled = true
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { serve(request, responder, arrivedAt) }
        job.invokeOnCompletion { active-- }
        watchCaller(request, responder, job)
    }

    /** How long the request has probably waited before it was read. */
    private fun unreadMilliseconds(): Long = loopLag.milliseconds.takeIf { it >= LEAST_LAG_MILLISECONDS } ?: 0

    private fun watchCaller(request: HttpServerRequest, responder: CallerResponder, job: Job) {
        // A failed write is followed by the close of the connection, which is handled.
        request.response().exceptionHandler { }
        request.response().closeHandler { if (!responder.hasEnded) job.cancel(CallerGone()) }
    }

    private suspend fun serve(request: HttpServerRequest, responder: CallerResponder, arrivedAt: Long) {
        var runner: RequestRunner? = null
        try {
            val body = readBody(request) ?: return refuse(request, responder, Refusal.BODY_TOO_LARGE)
            if (isRefusingNew) return refuse(request, responder, Refusal.SHUTTING_DOWN)
            if (loopLag.isOverloaded) return refuse(request, responder, Refusal.PROCESS_OVERLOADED)
            // The next turn of the event loop tells whether the caller has left while its request waited unread.
            if (unreadMilliseconds() > 0) delay(NEXT_TURN_MILLISECONDS)
            val accepted =
                parts.intake.accept(request, body, arrivedAt).getOrElse { return refuse(request, responder, it) }
            runner = RequestRunner(parts, accepted, responder)
            runner.run()
        } catch (gone: CancellationException) {
            runner?.logEnd("caller-gone")
            throw gone
        } catch (failure: Exception) {
            parts.log.write("unexpected-failure", "detail" to failure.toString())
            responder.breakOff()
        }
    }

    private fun refuse(request: HttpServerRequest, responder: CallerResponder, refusal: Refusal) {
        val caller = PlatformHeaders.readCallerRequest(request.headers())
        val remaining = caller.deadlineMilliseconds ?: DEFAULT_DEADLINE_MILLISECONDS
        val comeBack = if (refusal.mayReturn) RetryDelay.milliseconds(remaining, parts.random) else null
        responder.refuse(refusal, caller.requestId, comeBack)
        parts.meters.refusals(refusal).increment()
        parts.log.write(
            "request",
            "id" to caller.requestId,
            "outcome" to refusal.label,
            "host" to request.authority()?.host(),
            "path" to request.path(),
            "configuration" to register.current?.version,
            "configurationAgeMs" to register.ageMilliseconds(),
        )
    }

    /** The whole body; null when it is larger than the configuration allows. */
    private suspend fun readBody(request: HttpServerRequest): Buffer? {
        val limit = register.current?.limits?.maximumBodyBytes ?: DEFAULT_BODY_BYTES
        val body = Buffer.buffer()
        val whole = CompletableDeferred<Buffer?>()
        request.exceptionHandler { whole.completeExceptionally(CallerGone()) }
        request.handler { bytes ->
            if (body.length() + bytes.length() > limit) whole.complete(null) else body.appendBuffer(bytes)
        }
        request.endHandler { whole.complete(body) }
        return whole.await()
    }

    private fun options() =
        HttpServerOptions()
            .setTcpNoDelay(true)
            .setHttp2ClearTextEnabled(false)
            .setHandle100ContinueAutomatically(true)
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
            .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
            .setAcceptBacklog(ACCEPT_BACKLOG)
            .setIdleTimeout(IDLE_TIMEOUT_SECONDS)

    /** The caller closed its connection. */
    private class CallerGone : CancellationException("the caller has gone")

    private companion object {
        const val DEFAULT_DEADLINE_MILLISECONDS = 1_000L
        const val DEFAULT_BODY_BYTES = 4_194_304
        const val MAXIMUM_HEADER_BYTES = 65_536
        const val MAXIMUM_REQUEST_LINE_BYTES = 16_384
        const val ACCEPT_BACKLOG = 1_024
        const val LEAST_LAG_MILLISECONDS = 100L
        const val NEXT_TURN_MILLISECONDS = 2L
        const val IDLE_TIMEOUT_SECONDS = 60
    }
}
