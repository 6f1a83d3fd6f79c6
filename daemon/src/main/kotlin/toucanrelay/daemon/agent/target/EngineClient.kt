package toucanrelay.daemon.agent.target

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.wire.ServeRequest

/**
 * Sends requests to a model engine and keeps their answers whole over connections that break or go silent.
 *
 * @param terms when a connection counts as silent and how often a stream is continued.
 * @param onResumed called each time a stream is continued on another connection.
 */
internal class EngineClient(
    private val connection: TargetConnection,
    private val terms: EngineTerms = EngineTerms(),
    private val onResumed: () -> Unit = {},
) : TargetClient {
    override suspend fun execute(request: ServeRequest, answer: AnswerBuffer): TargetOutcome {
        val sent =
            try {
                connection.connect(HttpMethod.POST, COMPLETIONS_PATH)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                return TargetOutcome.NotRun(RefusalReason.TARGET_UNREACHABLE, failure.toString())
            }
        val pending = send(sent, request)
        var outcome: TargetOutcome? = null
        try {
            outcome = EngineAnswer(connection, terms, request, answer, onResumed).relay(pending)
            return outcome
        } finally {
            if (outcome !is TargetOutcome.Whole) pending.drop()
            if (outcome == null || outcome is TargetOutcome.Lost) cancel(request.requestId)
        }
    }

    private fun send(sent: HttpClientRequest, request: ServeRequest): PendingResponse {
        sent.putHeader(REQUEST_ID_HEADER, request.requestId)
        sent.putHeader("Content-Type", "application/json")
        return PendingResponse(sent, Buffer.buffer(request.model.body.toByteArray()))
    }

    private suspend fun cancel(requestId: String) {
        withContext(NonCancellable) {
            val answer = connection.call(HttpMethod.DELETE, streamPath(requestId))
            if (answer == null) Logger.warn("agent: the engine did not answer the cancellation of {}", requestId)
        }
    }

    private companion object {
        const val COMPLETIONS_PATH = "/v1/chat/completions"
    }
}

/** Path of the stream of a request at a model engine. */
internal fun streamPath(requestId: String): String = "/v1/streams/$requestId"

/**
 * When a connection to a model engine counts as silent.
 *
 * @property silenceMilliseconds time without a byte after which the engine is asked how far the stream has come.
 * @property suspicionMilliseconds time until it is asked again when it said that it has more than arrived.
 * @property mostResumes times that one stream is continued on another connection.
 */
internal data class EngineTerms(
    val silenceMilliseconds: Long = 2_000,
    val suspicionMilliseconds: Long = 500,
    val mostResumes: Int = 5,
)
