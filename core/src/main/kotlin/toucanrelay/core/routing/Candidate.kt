package toucanrelay.core.routing

import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId

/**
 * The region and failure domain in which a process runs.
 *
 * [toucanrelay.core.exchange.EntryLocation] also names the instance of an entry.
 */
public data class Location(
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
)

/**
 * A target that serves the pool of a request, as known to the entry from its link.
 *
 * @property limit maximum number of concurrent requests.
 * @property free number of requests that can be sent now without a grant.
 * @property holdsPrefix whether the target's cache is expected to contain the prefix of the request.
 */
public data class Candidate(
    public val target: TargetId,
    public val location: Location,
    public val limit: Int,
    public val free: Int,
    public val holdsPrefix: Boolean,
) {
    /** Fraction of the target's limit that is in use. */
    public val load: Double
        get() = if (limit <= 0) 1.0 else 1.0 - free.coerceIn(0, limit).toDouble() / limit
}
