package toucanrelay.core.target

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId

/** The run [incarnation] of [target], which is leaving. */
public data class LeavingRun(
    public val target: TargetId,
    public val incarnation: Incarnation,
)
