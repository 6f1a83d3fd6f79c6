package toucanrelay.daemon.entry.dispatch

import io.grpc.StatusException
import io.grpc.StatusRuntimeException
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import toucanrelay.core.charge.RequestCharge
import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.refusal.RetryReason
import toucanrelay.core.retry.AnswerProgress
import toucanrelay.core.retry.AttemptOutcome
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.entry.ServiceAccounting
import toucanrelay.daemon.entry.link.AgentSession
import toucanrelay.wire.Chunk
import toucanrelay.wire.End
import toucanrelay.wire.Failed
import toucanrelay.wire.ProcessIdentity
import toucanrelay.wire.Refused
import toucanrelay.wire.ResumeRequest
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.ServeRequest
import toucanrelay.wire.Usage

/** Sends a request to one run of an agent and relays the answer, resuming it when a connection breaks. */
internal class Attempt(
    private val request: CallerRequest,
    private val assignment: Assignment,
    private val answer: AnswerWriter,
    private val charge: RequestCharge,
    private val accounting: ServiceAccounting,
    private val meters: EntryMeters,
    private val tuning: EntryTuning,
) {
    private val progress = AnswerProgress()

    /** Bytes of the answer body received so far. */
    val receivedBytes: Long
        get() = progress.offset

    /** The usage that the target reported; null until then. */
    var usage: Usage? = null
        private set

    /** Sends [message] and relays the answer; returns null when the answer is complete. */
    suspend fun run(message: ServeRequest): AttemptOutcome? {
        var session = assignment.session
        if (session.isClosed) return AttemptOutcome.NeverSent
        var result = relay(session.serve(message))
        var resumes = 0
        while (result is RelayResult.Broken) {
            if (resumes == MAX_RESUMES) return AttemptOutcome.Lost
            delay(RESUME_DELAY_MILLISECONDS * resumes)
            session = nextSession(session) ?: return AttemptOutcome.Lost
            resumes += 1
            meters.recordRetry(RetryReason.ANSWER_RESUMED)
            result = relay(session.resume(resumeRequest(message.entry)))
        }
        return (result as? RelayResult.Unanswered)?.outcome
    }

    /**
     * Waits for the connection over which to resume; null when none to the same run opens in time.
     *
     * The control stream detects a broken connection only after a short delay. If only the stream of this request
     * broke, the same connection is used again.
     */
    private suspend fun nextSession(broken: AgentSession): AgentSession? {
        if (!broken.isClosed) delay(BREAK_DETECTION_MILLISECONDS)
        return assignment.link.awaitSession(
            agent = assignment.session.agent,
            broken = broken.takeIf { it.isClosed },
            limitMilliseconds = tuning.resumeLimitMilliseconds,
        )
    }

    private suspend fun relay(events: Flow<ServeEvent>): RelayResult {
        var result: RelayResult? = null
        try {
            events.collect { event -> if (result == null) result = accept(event) }
        } catch (cause: StatusException) {
            return result ?: RelayResult.Broken
        } catch (cause: StatusRuntimeException) {
            return result ?: RelayResult.Broken
        } catch (cause: InvalidAnswerException) {
            return RelayResult.Broken
        }
        return result ?: RelayResult.Broken
    }

    private suspend fun accept(event: ServeEvent): RelayResult? =
        when (event.eventCase) {
            ServeEvent.EventCase.CHUNK -> {
                acceptChunk(event.chunk)
            }

            ServeEvent.EventCase.HEAD -> {
                if (!progress.acceptHead()) throw InvalidAnswerException()
                answer.setHead(event.head)
                null
            }

            ServeEvent.EventCase.END -> {
                acceptEnd(event.end)
            }

            ServeEvent.EventCase.REFUSED -> {
                RelayResult.Unanswered(outcomeOf(event.refused))
            }

            ServeEvent.EventCase.FAILED -> {
                RelayResult.Unanswered(outcomeOf(event.failed))
            }

            else -> {
                null
            }
        }

    private suspend fun acceptChunk(chunk: Chunk): RelayResult? {
        if (!progress.acceptChunk(chunk.offset, chunk.body.size())) throw InvalidAnswerException()
        if (chunk.generatedTokens > 0) {
            accounting.charge(request.waiting.organisation, charge.addGenerated(chunk.generatedTokens))
        }
        answer.writeBody(chunk.body)
        return null
    }

    private suspend fun acceptEnd(end: End): RelayResult {
        if (!progress.isComplete(end.bodyBytes)) throw InvalidAnswerException()
        if (end.hasUsage()) usage = end.usage
        answer.finish()
        return RelayResult.Complete
    }

    private fun outcomeOf(refused: Refused): AttemptOutcome =
        if (progress.hasHead) {
            AttemptOutcome.Lost
        } else {
            AttemptOutcome.Refused(reasonNamed(refused.reason) ?: RefusalReason.TARGET_REFUSED)
        }

    private fun outcomeOf(failed: Failed): AttemptOutcome =
        AttemptOutcome.Failed(
            reason = reasonNamed(failed.reason) ?: RefusalReason.TARGET_FAILED,
            executed =
                when (failed.executed) {
                    toucanrelay.wire.Executed.EXECUTED_NO -> if (progress.hasHead) Executed.UNKNOWN else Executed.NO
                    else -> Executed.UNKNOWN
                },
        )

    private fun resumeRequest(entry: ProcessIdentity): ResumeRequest =
        ResumeRequest
            .newBuilder()
            .setRequestId(request.waiting.id.value)
            .setEntry(entry)
            .setAgent(assignment.session.agent)
            .setOffset(progress.offset)
            .setHasHead(progress.hasHead)
            .build()

    private sealed interface RelayResult {
        data object Complete : RelayResult

        data object Broken : RelayResult

        class Unanswered(
            val outcome: AttemptOutcome,
        ) : RelayResult
    }

    /** An event of the answer does not follow the events received before. */
    private class InvalidAnswerException : RuntimeException("unexpected event in the answer")

    private companion object {
        const val MAX_RESUMES = 8
        const val RESUME_DELAY_MILLISECONDS = 25L
        const val BREAK_DETECTION_MILLISECONDS = 50L

        fun reasonNamed(name: String): RefusalReason? = RefusalReason.entries.find { it.name == name }
    }
}
