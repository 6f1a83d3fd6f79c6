package toucanrelay.gateway.member

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.target.TargetAddress

/**
 * A member's copy of a table of the store that other members can read.
 *
 * @property address where the member receives digests.
 * @property ageMilliseconds upper bound of the copy's present age.
 */
internal class TableOffer(
    val instance: InstanceId,
    val address: TargetAddress,
    val ageMilliseconds: Long,
)
