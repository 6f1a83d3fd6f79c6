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
 * The assignment of a request to a target.
 *
 * @property grantId identifier of the grant; zero when the request is sent without one.
 * @property announcement number of the capacity announcement that allowed the request; null when it is sent by a grant.
 * @property isRemote whether the target is in another region.
 */
internal class Assignment(
    val link: AgentLink,
    val session: AgentSession,
    val grantId: Long,
    val announcement: Long?,
    val isRemote: Boolean,
)

/** A queued request and its pending decision. */
internal class Ticket(
    val request: WaitingRequest,
) {
    /** Completes with the assignment, or with the reason why the request is given up. */
    val decision = CompletableDeferred<Result<Assignment, RefusalReason>>()

    /** The assignment of the request; null when it has none. */
    @OptIn(ExperimentalCoroutinesApi::class)
    val assignment: Assignment?
        get() = if (decision.isCompleted) decision.getCompleted().get() else null
}
