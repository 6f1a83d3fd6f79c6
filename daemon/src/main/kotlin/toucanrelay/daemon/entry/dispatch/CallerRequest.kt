package toucanrelay.daemon.entry.dispatch

import toucanrelay.core.charge.CostHint
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.wire.ServeRequest

/** Puts the call into the message for an agent. */
internal fun interface CallContent {
    fun writeTo(request: ServeRequest.Builder)
}

/**
 * A caller's request that passed all checks.
 *
 * @property waiting what the queue knows of it.
 * @property isIdempotent whether it may run more than once.
 * @property deadlineMilliseconds reading of the clock at which the caller is given up.
 * @property hint what is known of its cost.
 * @property hintTokens generated tokens that the caller allowed; zero for a call of a plain service.
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
