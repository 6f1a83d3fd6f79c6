package toucanrelay.daemon.entry.dispatch

import toucanrelay.core.charge.CostHint
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.wire.ServeRequest

/** Writes the call into the message for an agent. */
internal fun interface CallContent {
    fun writeTo(request: ServeRequest.Builder)
}

/**
 * A validated request of a caller.
 *
 * @property waiting the request's entry in the queue.
 * @property isIdempotent whether it may run more than once.
 * @property deadlineMilliseconds clock reading at which the request times out.
 * @property hint estimate of its cost.
 * @property hintTokens maximum number of generated tokens; zero for a call to a plain service.
 * @property content the call itself.
 */
internal class CallerRequest(
    val waiting: WaitingRequest,
    val isIdempotent: Boolean,
    val deadlineMilliseconds: Long,
    val hint: CostHint,
    val hintTokens: Long,
    val content: CallContent,
)
