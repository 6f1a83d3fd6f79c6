package toucanrelay.daemon.agent.target

import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.wire.ServeRequest
import toucanrelay.wire.Usage

/** Outcome of a request at the target. */
internal sealed interface TargetOutcome {
    /**
     * The answer is complete.
     *
     * @property usage usage reported by the target.
     * @property status HTTP status of the answer.
     */
    data class Completed(
        val usage: Usage,
        val status: Int,
    ) : TargetOutcome

    /** The target certainly did not run the request. */
    data class NotExecuted(
        val reason: RefusalReason,
        val detail: String,
    ) : TargetOutcome

    /** The target may have run the request, but its answer is incomplete or missing. */
    data class PossiblyExecuted(
        val reason: RefusalReason,
        val detail: String,
    ) : TargetOutcome
}

/** Sends requests to one target; the requests of callers reach it only through this interface. */
internal interface TargetClient {
    /**
     * Sends [request] and relays the answer into [answer] byte for byte.
     *
     * When the coroutine is cancelled, this function cancels the request at the target, if the target supports that,
     * before it returns.
     */
    suspend fun execute(request: ServeRequest, answer: AnswerBuffer): TargetOutcome
}
