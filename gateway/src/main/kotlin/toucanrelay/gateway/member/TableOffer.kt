package toucanrelay.gateway.member

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.target.TargetAddress

/**
 * A member's copy of a table of the store, which others may ask for.
 *
 * @property address where the member takes digests.
 * @property ageMilliseconds age of the copy now, at most.
 */
internal class TableOffer(
    val instance: InstanceId,
    val address: TargetAddress,
    val ageMilliseconds: Long,
)
