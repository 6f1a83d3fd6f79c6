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
import toucanrelay.daemon.entry.EntryTerms
import toucanrelay.daemon.entry.ServiceAccount
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

/** One attempt at a request on one run of an agent, over as many connections as it takes. */
internal class Attempt(
    private val request: CallerRequest,
    private val assignment: Assignment,
    private val answer: AnswerWriter,
    private val charge: RequestCharge,
    private val account: ServiceAccount,
    private val meters: EntryMeters,
    private val terms: EntryTerms,
) {
    private val progress = AnswerProgress()

    /** Bytes of the answer that arrived. */
    val receivedBytes: Long
        get() = progress.offset

    /** What the target reported of the request's cost; null while it has not. */
    var usage: Usage? = null
        private set

    /** Sends [message] and relays the answer; null when the caller got it whole. */
    suspend fun run(message: ServeRequest): AttemptOutcome? {
        var session = assignment.session
        if (session.isClosed) return AttemptOutcome.NeverSent
        var end = relay(session.serve(message))
        var resumes = 0
        while (end is RelayEnd.Broken) {
            if (resumes == MAXIMUM_RESUMES) return AttemptOutcome.Lost
            delay(RESUME_DELAY_MILLISECONDS * resumes)
            session = nextSession(session) ?: return AttemptOutcome.Lost
            resumes += 1
            meters.retried(RetryReason.ANSWER_RESUMED)
            end = relay(session.resume(resumeRequest(message.entry)))
        }
        return (end as? RelayEnd.Unanswered)?.outcome
    }

    /** A broken connection shows on the control stream in a moment; a stream that broke alone goes on over the same. */
    private suspend fun nextSession(broken: AgentSession): AgentSession? {
        if (!broken.isClosed) delay(SETTLE_MILLISECONDS)
        return assignment.link.awaitSession(
            agent = assignment.session.agent,
            broken = broken.takeIf { it.isClosed },
            limitMilliseconds = terms.resumeLimitMilliseconds,
        )
    }

    private suspend fun relay(events: Flow<ServeEvent>): RelayEnd {
        var end: RelayEnd? = null
        try {
            events.collect { event -> if (end == null) end = accept(event) }
        } catch (cause: StatusException) {
            return end ?: RelayEnd.Broken
        } catch (cause: StatusRuntimeException) {
            return end ?: RelayEnd.Broken
        } catch (misfit: MisfitException) {
            return RelayEnd.Broken
        }
        return end ?: RelayEnd.Broken
    }

    private suspend fun accept(event: ServeEvent): RelayEnd? =
        when (event.eventCase) {
            ServeEvent.EventCase.CHUNK -> {
                acceptChunk(event.chunk)
            }

            ServeEvent.EventCase.HEAD -> {
                if (!progress.acceptHead()) throw MisfitException()
                answer.head(event.head)
                null
            }

            ServeEvent.EventCase.END -> {
                acceptEnd(event.end)
            }

            ServeEvent.EventCase.REFUSED -> {
                RelayEnd.Unanswered(outcomeOf(event.refused))
            }

            ServeEvent.EventCase.FAILED -> {
                RelayEnd.Unanswered(outcomeOf(event.failed))
            }

            else -> {
                null
            }
        }

    private suspend fun acceptChunk(chunk: Chunk): RelayEnd? {
        if (!progress.acceptChunk(chunk.offset, chunk.body.size())) throw MisfitException()
        if (chunk.generatedTokens > 0) {
            account.charge(request.waiting.organisation, charge.addGenerated(chunk.generatedTokens))
        }
        answer.body(chunk.body)
        return null
    }

    private suspend fun acceptEnd(end: End): RelayEnd {
        if (!progress.isComplete(end.bodyBytes)) throw MisfitException()
        if (end.hasUsage()) usage = end.usage
        answer.finish()
        return RelayEnd.Whole
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

    private sealed interface RelayEnd {
        data object Whole : RelayEnd

        data object Broken : RelayEnd

        class Unanswered(
            val outcome: AttemptOutcome,
        ) : RelayEnd
    }

    /** A part of the answer does not follow what arrived before. */
    private class MisfitException : RuntimeException("a part of the answer does not fit")

    private companion object {
        const val MAXIMUM_RESUMES = 8
        const val RESUME_DELAY_MILLISECONDS = 25L
        const val SETTLE_MILLISECONDS = 50L

        fun reasonNamed(name: String): RefusalReason? = RefusalReason.entries.find { it.name == name }
    }
}
