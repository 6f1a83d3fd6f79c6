package toucanrelay.gateway.dispatch

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import toucanrelay.core.retry.TargetOutcome
import toucanrelay.gateway.target.AnswerPart

/** A complete answer that has not been passed on to the caller yet. */
internal class BufferedAnswer(
    val status: Int,
    val headers: MultiMap,
    val body: Buffer,
)

/** Where a target broke off its answer. */
internal enum class BreakPoint {
    /** Before it had written more than a first event. */
    BEFORE_ANSWER,

    /** After it had written at least two events. */
    WITHIN_ANSWER,
}

/** How an attempt ended. */
internal sealed interface AttemptResult {
    /** The complete answer was sent to the caller. */
    data object Answered : AttemptResult

    /**
     * No complete answer was sent.
     *
     * @property failure the target's error response, if there is one to pass on.
     * @property tooLarge the part of the answer of which the target sent more bytes than a valid answer has, if any.
     * @property brokenOff where the target broke off its answer, if it did.
     */
    class Unanswered(
        val outcome: TargetOutcome,
        val detail: String,
        val failure: BufferedAnswer? = null,
        val tooLarge: AnswerPart? = null,
        val brokenOff: BreakPoint? = null,
    ) : AttemptResult
}
