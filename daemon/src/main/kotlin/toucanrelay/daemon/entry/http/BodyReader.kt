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
 * Reads callers' bodies within limits of size, time and memory.
 *
 * @param timeoutMilliseconds time that a caller has to send a body.
 * @param maximumBytesInHand bytes of all bodies that are held at one time.
 */
internal class BodyReader(
    private val timeoutMilliseconds: Long,
    private val maximumBytesInHand: Long,
) {
    /** Bytes of bodies that are held now. */
    var bytesInHand: Long = 0
        private set

    /** Reads the body of [request]; the caller releases it with [release]. */
    suspend fun read(request: HttpServerRequest, limitBytes: Long): Result<Buffer, Refusal> {
        val announced = request.getHeader("Content-Length")?.toLongOrNull() ?: 0
        if (announced > limitBytes) return Err(tooLarge(limitBytes))
        if (request.getHeader("Expect").equals("100-continue", ignoreCase = true)) request.response().writeContinue()
        val reading = Reading(request, limitBytes)
        return withTimeoutOrNull(timeoutMilliseconds) { reading.result.await() } ?: Err(reading.stop(incomplete()))
    }

    /** Notes that [bytes] of a body are held no longer. */
    fun release(bytes: Int) {
        bytesInHand -= bytes
    }

    private inner class Reading(
        request: HttpServerRequest,
        private val limitBytes: Long,
    ) {
        val result = CompletableDeferred<Result<Buffer, Refusal>>()
        private val body = Buffer.buffer()

        init {
            request.handler { take(it) }
            request.endHandler { result.complete(Ok(body)) }
            request.exceptionHandler { stop(incomplete()) }
            request.resume()
        }

        fun stop(refusal: Refusal): Refusal {
            if (result.complete(Err(refusal))) release(body.length())
            return refusal
        }

        private fun take(part: Buffer) {
            if (result.isCompleted) return
            if (body.length() + part.length() > limitBytes) {
                stop(tooLarge(limitBytes))
            } else if (bytesInHand + part.length() > maximumBytesInHand) {
                stop(Refusal(RefusalReason.TOO_MANY_WAITING, "The relay holds as many bodies as it can."))
            } else {
                bytesInHand += part.length()
                body.appendBuffer(part)
            }
        }
    }

    private fun incomplete() = Refusal(RefusalReason.INCOMPLETE_REQUEST, detailOf(RefusalReason.INCOMPLETE_REQUEST))

    private fun tooLarge(limitBytes: Long) =
        Refusal(RefusalReason.BODY_TOO_LARGE, "The body is larger than $limitBytes bytes.")
}
