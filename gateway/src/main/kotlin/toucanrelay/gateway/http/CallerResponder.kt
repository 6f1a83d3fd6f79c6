package toucanrelay.gateway.http

import io.vertx.core.Future
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import toucanrelay.platform.PlatformHeaders

/** Writes the response to a caller's request. */
internal class CallerResponder(
    request: HttpServerRequest,
    private val connection: CallerConnection,
    private val closesAfterAnswer: () -> Boolean,
) {
    private val response: HttpServerResponse = request.response()

    /** Whether any part of the response was written, so that no other one can be. */
    val hasBegun: Boolean
        get() = response.headWritten() || response.ended()

    /** Whether a complete response was written. */
    var isAnswered: Boolean = false
        private set

    private var isAborted = false

    /** Whether the response was completed or aborted. */
    val hasEnded: Boolean
        get() = isAnswered || isAborted

    /** Number of bytes of the response's body that were passed on to the caller. */
    val passedOnBytes: Long
        get() = response.bytesWritten()

    /** Writes a complete response of a target. */
    fun relay(status: Int, targetHeaders: MultiMap, body: Buffer) {
        begin(status, targetHeaders)
        end(body)
    }

    /** Writes the headers of a target's response whose body follows in chunks. */
    fun beginStream(status: Int, targetHeaders: MultiMap) {
        begin(status, targetHeaders)
        response.isChunked = true
    }

    /** Writes a chunk of the body and suspends while the write queue is full. */
    suspend fun writeChunk(bytes: Buffer) {
        val written = response.write(bytes)
        if (response.writeQueueFull()) written.recover { Future.failedFuture(CallerDisconnected()) }.coAwait()
    }

    /** Ends a body that was written in chunks. */
    fun endStream() {
        end(Buffer.buffer())
    }

    /** Writes an error response of the gateway, or aborts a response that has begun. */
    fun refuse(refusal: Refusal, requestId: String?, retryAfterMilliseconds: Long?) {
        if (hasBegun) return abort(CloseReason.of(refusal))
        // A response that could not be written may have left its headers.
        response.headers().clear()
        response.isChunked = false
        response.statusCode = refusal.status
        requestId?.let { PlatformHeaders.setRequestId(response.headers(), it) }
        retryAfterMilliseconds?.let { response.putHeader("Retry-After", secondsOf(it)) }
        if (closesAfterAnswer() || refusal.leavesBodyUnread) response.putHeader("Connection", "close")
        response.putHeader("Content-Type", "text/plain")
        end(Buffer.buffer(refusal.label + "\n"))
    }

    /** Closes the connection for [reason], so that the caller sees an incomplete response. */
    fun abort(reason: CloseReason) {
        isAborted = true
        connection.close(reason)
    }

    private fun begin(status: Int, targetHeaders: MultiMap) {
        response.statusCode = status
        response.headers().addAll(PlatformHeaders.buildCallerResponse(targetHeaders))
        if (closesAfterAnswer()) response.putHeader("Connection", "close")
    }

    private fun end(lastBytes: Buffer) {
        // Set first, since the connection may close or pass on the next request before the call returns.
        isAnswered = true
        try {
            response.end(lastBytes)
        } catch (failure: Throwable) {
            isAnswered = false
            throw failure
        }
    }

    private fun secondsOf(milliseconds: Long) = "%d.%03d".format(milliseconds / 1_000, milliseconds % 1_000)
}
