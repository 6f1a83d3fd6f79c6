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
 * Sends requests to a model engine; answers survive connections that break or go silent.
 *
 * @param settings timeouts and the limit on resumes.
 * @param onResumed called each time a stream is resumed on another connection.
 */
internal class EngineClient(
    private val connection: TargetConnection,
    private val settings: EngineClientSettings = EngineClientSettings(),
    private val onResumed: () -> Unit = {},
) : TargetClient {
    override suspend fun execute(request: ServeRequest, answer: AnswerBuffer): TargetOutcome {
        val sent =
            try {
                connection.connect(HttpMethod.POST, COMPLETIONS_PATH)
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                return TargetOutcome.NotExecuted(RefusalReason.TARGET_UNREACHABLE, failure.toString())
            }
        val pending = send(sent, request)
        var outcome: TargetOutcome? = null
        try {
            outcome = EngineAnswerRelay(connection, settings, request, answer, onResumed).relay(pending)
            return outcome
        } finally {
            if (outcome !is TargetOutcome.Completed) pending.abort()
            if (outcome == null || outcome is TargetOutcome.PossiblyExecuted) cancel(request.requestId)
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

/** Returns the path of a request's stream on a model engine. */
internal fun streamPath(requestId: String): String = "/v1/streams/$requestId"

/**
 * Timeouts and limits of an [EngineClient].
 *
 * @property silenceMilliseconds time without a byte after which the engine is probed for the progress of the stream.
 * @property probeIntervalMilliseconds time until the next probe while the connection is suspected to be dead.
 * @property maxResumes maximum number of attempts to resume one stream on another connection.
 */
internal data class EngineClientSettings(
    val silenceMilliseconds: Long = 2_000,
    val probeIntervalMilliseconds: Long = 500,
    val maxResumes: Int = 5,
)
