package toucanrelay.daemon.agent.target

import com.google.protobuf.ByteString
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CancellationException
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.wire.ServeRequest
import toucanrelay.wire.Usage

/**
 * Sends calls to a plain service.
 *
 * A plain service cannot be asked how far a call has come: once the request was written, an answer that does not come
 * back whole is lost.
 */
internal class ServiceClient(
    private val connection: TargetConnection,
) : TargetClient {
    override suspend fun execute(request: ServeRequest, answer: AnswerBuffer): TargetOutcome {
        val call = request.service
        val sent =
            try {
                connection.connect(HttpMethod.valueOf(call.method), call.path)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                return TargetOutcome.NotRun(RefusalReason.TARGET_UNREACHABLE, failure.toString())
            }
        call.headersList.filter { isPassedOn(it.name) }.forEach { sent.headers().add(it.name, it.value) }
        sent.putHeader(REQUEST_ID_HEADER, request.requestId)
        val pending = PendingResponse(sent, Buffer.buffer(call.body.toByteArray()))
        var isEnded = false
        try {
            return when (val begun = pending.await(Long.MAX_VALUE)) {
                is Arrival.Piece -> relay(begun.value, answer)
                is Arrival.Broken -> lost(begun.detail)
                else -> lost("no response")
            }.also { isEnded = true }
        } finally {
            if (!isEnded) pending.drop()
        }
    }

    private suspend fun relay(body: ResponseBody, answer: AnswerBuffer): TargetOutcome {
        answer.begin(body.head())
        while (true) {
            when (val arrival = body.next(Long.MAX_VALUE)) {
                is Arrival.Piece -> answer.append(ByteString.copyFrom(arrival.value.bytes), generatedTokens = 0)
                is Arrival.Broken -> return lost(arrival.detail)
                Arrival.End -> return TargetOutcome.Whole(Usage.getDefaultInstance(), body.status)
                Arrival.Silence -> Unit
            }
        }
    }

    private fun lost(detail: String) = TargetOutcome.Lost(RefusalReason.ANSWER_LOST, detail)
}

/** Header that carries the request's identifier to the target. */
internal const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** HTTP status codes from this on mean that the server failed. */
internal const val SERVER_ERRORS: Int = 500
