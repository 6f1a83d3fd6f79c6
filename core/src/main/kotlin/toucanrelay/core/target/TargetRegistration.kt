package toucanrelay.core.target

import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId

/** Where a target listens. */
public data class TargetAddress(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/**
 * What a target says of itself.
 *
 * @property incarnation number of the target's run, higher after each start; zero when it does not tell.
 * @property isLeaving whether the target will stop soon and wants no new work.
 * @property coldMilliseconds how much longer the target's cold start lasts, as of the registration.
 */
public data class TargetRegistration(
    public val id: TargetId,
    public val service: String,
    public val address: TargetAddress,
    public val failureDomain: FailureDomainId,
    public val incarnation: Incarnation,
    public val slots: Int,
    public val isLeaving: Boolean,
    public val coldMilliseconds: Long,
)
