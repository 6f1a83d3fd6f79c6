package toucanrelay.core.routing

import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId

/**
 * Where a process runs.
 *
 * @property region the region.
 * @property failureDomain the failure domain.
 */
public data class Location(
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
)

/**
 * A target that serves a request's pool, as the entry sees it through its link.
 *
 * @property target the target.
 * @property location where it runs.
 * @property limit requests it bears at once.
 * @property free requests that may be sent to it now without a grant.
 * @property holdsPrefix whether its cache is believed to hold the request's prefix.
 */
public data class Candidate(
    public val target: TargetId,
    public val location: Location,
    public val limit: Int,
    public val free: Int,
    public val holdsPrefix: Boolean,
) {
    /** Part of the target's limit that is in use. */
    public val load: Double
        get() = if (limit <= 0) 1.0 else 1.0 - free.coerceIn(0, limit).toDouble() / limit
}
