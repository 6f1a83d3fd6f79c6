package toucanrelay.gateway.http

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import toucanrelay.platform.PlatformHeaders

/** Writes the one answer of a caller's request. */
internal class CallerResponder(
    private val request: HttpServerRequest,
    private val isShuttingDown: () -> Boolean,
) {
    private val response: HttpServerResponse = request.response()

    /** Whether the answer's headers were written. */
    var hasBegun: Boolean = false
        private set

    /** Whether the answer was written to its end or broken off. */
    var hasEnded: Boolean = false
        private set

    /** Writes a whole answer of a target. */
    fun relay(status: Int, targetHeaders: MultiMap, body: Buffer) {
        begin(status, targetHeaders)
        hasEnded = true
        response.end(body)
    }

    /** Writes the headers of a target's answer whose body follows in parts. */
    fun beginStream(status: Int, targetHeaders: MultiMap) {
        begin(status, targetHeaders)
        response.isChunked = true
    }

    /** Writes a part of the body and waits while the caller reads too slowly. */
    suspend fun writePart(bytes: Buffer) {
        val written = response.write(bytes)
        if (response.writeQueueFull()) written.coAwait()
    }

    /** Ends a body that was written in parts. */
    fun endStream() {
        hasEnded = true
        response.end()
    }

    /** Writes an answer of the gateway's own; [returnMilliseconds] tells when the caller may come back. */
    fun refuse(refusal: Refusal, requestId: String?, returnMilliseconds: Long?) {
        if (hasBegun) return breakOff()
        hasBegun = true
        hasEnded = true
        response.statusCode = refusal.status
        requestId?.let { PlatformHeaders.setRequestId(response.headers(), it) }
        returnMilliseconds?.let { response.putHeader("Retry-After", secondsOf(it)) }
        if (isShuttingDown() || refusal == Refusal.BODY_TOO_LARGE) response.putHeader("Connection", "close")
        response.putHeader("Content-Type", "text/plain").end(refusal.label + "\n")
    }

    /** Closes the connection so that the caller sees an incomplete answer. */
    fun breakOff() {
        hasEnded = true
        request.connection().close()
    }

    private fun begin(status: Int, targetHeaders: MultiMap) {
        hasBegun = true
        response.statusCode = status
        response.headers().addAll(PlatformHeaders.buildCallerResponse(targetHeaders))
        if (isShuttingDown()) response.putHeader("Connection", "close")
    }

    private fun secondsOf(milliseconds: Long) = "%d.%03d".format(milliseconds / 1_000, milliseconds % 1_000)
}
