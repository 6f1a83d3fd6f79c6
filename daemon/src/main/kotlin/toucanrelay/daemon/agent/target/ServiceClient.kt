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
 * A plain service has no way to query or resume a call: once the request has been written, an answer that does not
 * arrive completely is lost.
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
                return TargetOutcome.NotExecuted(RefusalReason.TARGET_UNREACHABLE, failure.toString())
            }
        call.headersList.filter { isForwarded(it.name) }.forEach { sent.headers().add(it.name, it.value) }
        sent.putHeader(REQUEST_ID_HEADER, request.requestId)
        val pending = PendingResponse(sent, Buffer.buffer(call.body.toByteArray()))
        var isEnded = false
        try {
            return when (val result = pending.await(Long.MAX_VALUE)) {
                is ReadResult.Received -> relay(result.value, answer)
                is ReadResult.Failed -> possiblyExecuted(result.detail)
                else -> possiblyExecuted("no response")
            }.also { isEnded = true }
        } finally {
            if (!isEnded) pending.abort()
        }
    }

    private suspend fun relay(body: ResponseBody, answer: AnswerBuffer): TargetOutcome {
        answer.setHead(body.head())
        while (true) {
            when (val result = body.next(Long.MAX_VALUE)) {
                is ReadResult.Received -> answer.append(ByteString.copyFrom(result.value.bytes), generatedTokens = 0)
                is ReadResult.Failed -> return possiblyExecuted(result.detail)
                ReadResult.End -> return TargetOutcome.Completed(Usage.getDefaultInstance(), body.status)
                ReadResult.Timeout -> Unit
            }
        }
    }

    private fun possiblyExecuted(detail: String) = TargetOutcome.PossiblyExecuted(RefusalReason.ANSWER_LOST, detail)
}

/** Header that carries the request id to the target. */
internal const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Lowest HTTP status code of a server error. */
internal const val FIRST_SERVER_ERROR_STATUS: Int = 500
