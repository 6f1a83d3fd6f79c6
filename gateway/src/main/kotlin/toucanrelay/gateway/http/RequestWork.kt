package toucanrelay.gateway.http

import com.github.michaelbull.result.Result
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest

/** Work on a request of a caller that was read completely. */
internal interface RequestWork {
    /** Whether the request was sent to a target, so that it may have run. */
    val wasSent: Boolean

    /** Works on the request until it has ended. */
    suspend fun run()

    /** Logs that the request has ended with [outcome]. */
    fun logEnd(outcome: String)
}

/** Decides which requests of callers are accepted. */
internal fun interface RequestAcceptor {
    /**
     * Returns the work on [request], or why it is refused.
     *
     * @param body the complete body of the request.
     * @param arrivedAtMilliseconds when the request arrived.
     * @param responder writes the response to the request.
     */
    fun accept(
        request: HttpServerRequest,
        body: Buffer,
        arrivedAtMilliseconds: Long,
        responder: CallerResponder,
    ): Result<RequestWork, Refusal>
}
