package toucanrelay.daemon.entry.dispatch

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.entry.link.AgentLink
import toucanrelay.daemon.entry.link.AgentSession

/**
 * The target that a request is sent to.
 *
 * @property grantId zero when the request is sent without a grant.
 * @property allowedBy the announcement of capacity that allowed it; null when it is sent by a grant.
 * @property isRemote whether the target is in another region.
 */
internal class Assignment(
    val link: AgentLink,
    val session: AgentSession,
    val grantId: Long,
    val allowedBy: Long?,
    val isRemote: Boolean,
)

/** A request in the queue and the decision that it waits for. */
internal class Ticket(
    val request: WaitingRequest,
) {
    /** Completed with a target, or with the reason for which the request is given up. */
    val decision = CompletableDeferred<Result<Assignment, RefusalReason>>()

    /** The target that the request was bound to; null when it was not. */
    @OptIn(ExperimentalCoroutinesApi::class)
    val assignment: Assignment?
        get() = if (decision.isCompleted) decision.getCompleted().get() else null
}
