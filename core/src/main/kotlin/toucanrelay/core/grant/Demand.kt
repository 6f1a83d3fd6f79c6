package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

/** Identifies one control stream of one entry while it is open. */
@JvmInline
public value class LinkId(
    public val value: Long,
)

/** Identifies a grant within one run of an agent; zero means no grant. */
@JvmInline
public value class GrantId(
    public val value: Long,
)

/**
 * Waiting requests of one organisation for one pool at one entry.
 *
 * @property waiting number of waiting requests.
 * @property virtualTime service received across the fleet per unit of share, as known at the entry.
 * @property headCost expected service units of the request that has waited longest.
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
    /** Virtual time that a grant adds to the organisation. */
    public val virtualCost: Double
        get() = if (share > 0) headCost / share else Double.MAX_VALUE
}

/**
 * The right to send one request.
 *
 * @property link the control stream over which the grant is sent.
 * @property expiresInMilliseconds time after which an unused grant expires.
 */
public data class Grant(
    public val id: GrantId,
    public val link: LinkId,
    public val pool: Pool,
    public val organisation: OrganisationId,
    public val expiresInMilliseconds: Long,
)
