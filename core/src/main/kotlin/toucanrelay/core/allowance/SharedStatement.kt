package toucanrelay.core.allowance

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId

/** A [statement] of the run [incarnation] of [target], for the other instances. */
public data class SharedStatement(
    public val target: TargetId,
    public val incarnation: Incarnation,
    public val statement: LimitStatement,
)
