package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.identity.TargetId
import toucanrelay.gateway.http.CallerRequest

/**
 * A request that needs a target.
 *
 * @property excluded targets that it was already placed on.
 * @property version the only version of targets that can serve it; null if any can.
 * @property isTakeUp whether it resumes a stream that this fleet is known to have begun.
 */
internal class PlacementQuery(
    val request: CallerRequest,
    val excluded: Set<TargetId>,
    val version: SoftwareVersion?,
    val isTakeUp: Boolean,
) {
    /** Whether a part of the work was already done, so that the request comes before new ones. */
    val isInterrupted: Boolean
        get() = excluded.isNotEmpty() || isTakeUp
}
