package toucanrelay.core.overload

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId

/**
 * An organisation's requests that the same regions may serve.
 *
 * @property regions the regions whose targets may serve the requests; empty for all.
 */
public data class UsageKey(
    public val organisation: OrganisationId,
    public val regions: Set<RegionId> = emptySet(),
)
