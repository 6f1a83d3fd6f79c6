package toucanrelay.daemon.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.refusal.RefusalReason

/**
 * Reads request bodies within limits on size, time and memory.
 *
 * @param timeoutMilliseconds time within which a caller has to send the whole body.
 * @param maxBufferedBytes limit on the total size of all bodies in memory.
 */
internal class BodyReader(
    private val timeoutMilliseconds: Long,
    private val maxBufferedBytes: Long,
) {
    /** Total size in bytes of the bodies in memory. */
    var bufferedBytes: Long = 0
        private set

    /** Reads the body of [request]; its size has to be passed to [release] once it is no longer used. */
    suspend fun read(request: HttpServerRequest, limitBytes: Long): Result<Buffer, Refusal> {
        val contentLength = request.getHeader("Content-Length")?.toLongOrNull() ?: 0
        if (contentLength > limitBytes) return Err(tooLarge(limitBytes))
        if (request.getHeader("Expect").equals("100-continue", ignoreCase = true)) request.response().writeContinue()
        val pending = PendingBody(request, limitBytes)
        return withTimeoutOrNull(timeoutMilliseconds) { pending.result.await() } ?: Err(pending.stop(incomplete()))
    }

    /** Releases [bytes] of a body that is no longer in memory. */
    fun release(bytes: Int) {
        bufferedBytes -= bytes
    }

    private inner class PendingBody(
        request: HttpServerRequest,
        private val limitBytes: Long,
    ) {
        val result = CompletableDeferred<Result<Buffer, Refusal>>()
        private val body = Buffer.buffer()

        init {
            request.handler { accept(it) }
            request.endHandler { result.complete(Ok(body)) }
            request.exceptionHandler { stop(incomplete()) }
            request.resume()
        }

        fun stop(refusal: Refusal): Refusal {
            if (result.complete(Err(refusal))) release(body.length())
            return refusal
        }

        private fun accept(chunk: Buffer) {
            if (result.isCompleted) return
            if (body.length() + chunk.length() > limitBytes) {
                stop(tooLarge(limitBytes))
            } else if (bufferedBytes + chunk.length() > maxBufferedBytes) {
                stop(Refusal(RefusalReason.TOO_MANY_WAITING, "The relay holds as many bodies as it can."))
            } else {
                bufferedBytes += chunk.length()
                body.appendBuffer(chunk)
            }
        }
    }

    private fun incomplete() = Refusal(RefusalReason.INCOMPLETE_REQUEST, detailOf(RefusalReason.INCOMPLETE_REQUEST))

    private fun tooLarge(limitBytes: Long) =
        Refusal(RefusalReason.BODY_TOO_LARGE, "The body is larger than $limitBytes bytes.")
}
