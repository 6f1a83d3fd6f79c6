package toucanrelay.core.quarantine

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress

/** Identifies one run of a target; a later run at the same [address] may have another id. */
public data class TargetRun(
    public val target: TargetId,
    public val incarnation: Incarnation,
    public val address: TargetAddress,
)
