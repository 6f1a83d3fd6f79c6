package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

/** Names one control stream of one entry, for as long as it is open. */
@JvmInline
public value class LinkId(
    public val value: Long,
)

/** Names a grant within one run of an agent; zero stands for none. */
@JvmInline
public value class GrantId(
    public val value: Long,
)

/**
 * Waiting requests of one organisation for one pool at one entry.
 *
 * @property waiting number of requests.
 * @property virtualTime service over the fleet per unit of share, as the entry knows it.
 * @property headCost expected service units of the request that waits longest.
 * @property share the organisation's share.
 * @property headWaitingMilliseconds how long that request has waited.
 */
public data class OrganisationDemand(
    public val pool: Pool,
    public val organisation: OrganisationId,
    public val waiting: Int,
    public val virtualTime: Double,
    public val headCost: Double,
    public val share: Double,
    public val headWaitingMilliseconds: Long,
) {
    /** What a grant adds to the organisation's virtual time. */
    public val virtualCost: Double
        get() = if (share > 0) headCost / share else Double.MAX_VALUE
}

/**
 * The right to send one request.
 *
 * @property link the control stream over which it goes.
 * @property expiresInMilliseconds time after which it returns unused.
 */
public data class Grant(
    public val id: GrantId,
    public val link: LinkId,
    public val pool: Pool,
    public val organisation: OrganisationId,
    public val expiresInMilliseconds: Long,
)
