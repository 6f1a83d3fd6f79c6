package toucanrelay.daemon.agent.target

import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.wire.ServeRequest
import toucanrelay.wire.Usage

/** How a request ended at the target. */
internal sealed interface TargetOutcome {
    /**
     * The answer is whole.
     *
     * @property usage what it cost, as the target counted.
     * @property status HTTP status of the answer.
     */
    data class Whole(
        val usage: Usage,
        val status: Int,
    ) : TargetOutcome

    /** Proved that the target did not run the request. */
    data class NotRun(
        val reason: RefusalReason,
        val detail: String,
    ) : TargetOutcome

    /** The target may have run the request. */
    data class Lost(
        val reason: RefusalReason,
        val detail: String,
    ) : TargetOutcome
}

/** Sends requests to one target; the only way to it. */
internal interface TargetClient {
    /**
     * Sends [request] and relays the answer into [answer] byte for byte.
     *
     * When the coroutine is cancelled the request is cancelled at the target, where the target can do that, before this
     * function ends.
     */
    suspend fun execute(request: ServeRequest, answer: AnswerBuffer): TargetOutcome
}
