package toucanrelay.gateway.member

import toucanrelay.core.following.ReaderRank
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.overload.UsageKey
import toucanrelay.core.overload.UsageRate
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock

/**
 * Tracks the other members and their newest digests; confined to the event loop.
 *
 * Members that have sent no digest for a long time expire, so that replaced members neither receive digests nor count
 * in the fleet's budgets. A member is added again when it sends a digest or registers a later run.
 *
 * @param regionOf returns the region of a failure domain.
 */
internal class FleetView(
    private val self: InstanceId,
    private val ownRegion: RegionId?,
    private val clock: Clock,
    private val regionOf: (FailureDomainId) -> RegionId?,
) {
    private class Member(
        var address: TargetAddress,
        var incarnation: Long,
        var lastSeenAtMilliseconds: Long,
    ) {
        val parts = DigestParts()
        var offersIgnoredUntilMilliseconds = Long.MIN_VALUE

        /** The newest part of the member's digests, which says how it is itself. */
        val digest: MemberDigest?
            get() = parts.newest
    }

    private class ExpiredMember(
        val incarnation: Long,
        val expiredAtMilliseconds: Long,
    )

    private val members = HashMap<InstanceId, Member>()
    private val expired = HashMap<InstanceId, ExpiredMember>()

    /** Addresses of the members in this process's region, and of those whose region is not known yet. */
    val ownRegionAddresses: List<TargetAddress>
        get() = members.values.filter { isInOwnRegion(it) }.map { it.address }

    /** Addresses of the members in other regions. */
    val otherRegionAddresses: List<TargetAddress>
        get() = members.values.filter { !isInOwnRegion(it) }.map { it.address }

    /** Number of members that share the fleet's budgets, including this one. */
    val size: Int
        get() = members.size + 1

    /** Records that [instance] registered its run [incarnation] at [address]. */
    fun recordRegistration(instance: InstanceId, incarnation: Long, address: TargetAddress) {
        if (instance == self || incarnation <= (expired[instance]?.incarnation ?: Long.MIN_VALUE)) return
        val member = members.getOrPut(instance) { Member(address, incarnation, clock.nowMilliseconds()) }
        member.address = address
        member.incarnation = maxOf(member.incarnation, incarnation)
    }

    /** Removes the members that have sent no digest for a long time. */
    fun expireSilent() {
        val cutoff = clock.nowMilliseconds() - EXPIRY_MILLISECONDS
        val silent = members.filterValues { it.lastSeenAtMilliseconds < cutoff }
        silent.forEach { (instance, member) ->
            members.remove(instance)
            expired[instance] = ExpiredMember(member.incarnation, clock.nowMilliseconds())
        }
    }

    /** Returns the time since [instance] expired, or null if it has not, or has sent a digest since. */
    fun sinceExpiryMilliseconds(instance: InstanceId): Long? =
        expired[instance]?.let { clock.nowMilliseconds() - it.expiredAtMilliseconds }

    /**
     * Returns the zero-based rank of this process among the members of its region that may read from the store.
     *
     * These are the live members that are not leaving, and this process.
     */
    fun readerRank(): Int =
        ReaderRank.of(
            self,
            members.filterValues { isLive(it) && isInOwnRegion(it) && it.digest?.isLeaving == false }.keys,
        )

    /**
     * Returns whether at least half of the members of [failureDomain] are ready without this process.
     *
     * With fewer, a load balancer uses all members of the failure domain, whether they are ready or not.
     */
    fun canReplaceSelf(failureDomain: FailureDomainId): Boolean {
        val others = members.values.filter { it.digest?.failureDomain == failureDomain.value }
        val ready = others.count { isLive(it) && it.digest?.isReady == true && it.digest?.isLeaving == false }
        return 2 * ready >= others.size + 1
    }

    /**
     * Returns the freshest copy of [table] that a live member offers; prefers a slightly older one in this region.
     *
     * @param minEra era of the store below which copies are outdated, however recently they were read.
     */
    fun bestOffer(table: String, minEra: Long = 0): TableOffer? =
        members.mapNotNull { offerOf(it, table, minEra) }.minByOrNull { it.ageMilliseconds }

    /** Records that reading [offer] failed; offers of the same member are ignored for a while. */
    fun recordFailedOffer(offer: TableOffer) {
        val until = clock.nowMilliseconds() + FAILED_OFFER_BACKOFF_MILLISECONDS
        members[offer.instance]?.offersIgnoredUntilMilliseconds = until
    }

    /** Returns the member's offer of [table], with a penalty on its age if the member is in another region. */
    private fun offerOf(entry: Map.Entry<InstanceId, Member>, table: String, minEra: Long): TableOffer? {
        val (instance, member) = entry
        val now = clock.nowMilliseconds()
        if (!isLive(member) || now < member.offersIgnoredUntilMilliseconds) return null
        val offered = member.digest?.tables?.find { it.table == table && it.era >= minEra } ?: return null
        val age = offered.ageMilliseconds + now - member.lastSeenAtMilliseconds
        val penalty = if (isInOwnRegion(member)) 0 else OTHER_REGION_PENALTY_MILLISECONDS
        return TableOffer(instance, member.address, age + penalty)
    }

    /** Records [digest], or a part of one, which [address] sent; returns whether it is newer than what is known. */
    fun recordDigest(digest: MemberDigest, address: TargetAddress): Boolean {
        val instance = InstanceId(digest.instance)
        if (instance == self) return false
        val now = clock.nowMilliseconds()
        expired.remove(instance)
        val member = members.getOrPut(instance) { Member(address, digest.incarnation, now) }
        if (isOlder(digest, member)) return false
        member.parts.record(digest, now)
        member.incarnation = digest.incarnation
        // A late part of an earlier digest says nothing of the member now.
        if (member.digest === digest) member.lastSeenAtMilliseconds = now
        return true
    }

    /** Returns the load that all other live members have at each target. */
    fun loads(): Map<TargetId, OthersLoad> =
        liveParts()
            .flatMap { it.loads }
            .groupBy { TargetId(it.target) }
            .mapValues { (_, entries) -> OthersLoad.sum(entries) }

    /**
     * Returns the requests per second that callers ask of each member for [service], [ownPerSecond] of this one.
     *
     * A silent member may be cut off from this process and still send requests, so its last demand counts for a while.
     * A member that has sent no digest yet counts as much as this one.
     */
    fun demands(service: String, ownPerSecond: Double): Map<InstanceId, Double> {
        val oldest = clock.nowMilliseconds() - DEMAND_VALIDITY_MILLISECONDS
        val known = members.filterValues { it.lastSeenAtMilliseconds >= oldest }
        return known.mapValues { (_, member) -> member.demandFor(service) ?: ownPerSecond } +
            (self to ownPerSecond)
    }

    /** Returns the usage of each organisation at all other live members. */
    fun usage(): Map<UsageKey, UsageRate> {
        val usage = HashMap<UsageKey, UsageRate>()
        liveParts().flatMap { it.usage }.forEach { entry ->
            val key = UsageKey(OrganisationId(entry.organisation), entry.regions.mapTo(HashSet()) { RegionId(it) })
            val rate = UsageRate(entry.demanded.toDouble(), entry.served.toDouble())
            usage.merge(key, rate, UsageRate::plus)
        }
        return usage
    }

    /** Returns the tokens per second that the engines of each region serve to all other live members. */
    fun servedByRegion(): Map<RegionId?, Double> =
        liveParts()
            .flatMap { it.servedByRegion }
            .groupBy { entry -> entry.region.takeIf { it.isNotEmpty() }?.let { RegionId(it) } }
            .mapValues { (_, entries) -> entries.sumOf { it.served.toDouble() } }

    private fun Member.demandFor(service: String): Double? =
        digest?.let {
            parts.demand
                .find { it.service == service }
                ?.requestsPerSecond
                ?.toDouble() ?: 0.0
        }

    private fun liveParts(): List<DigestParts> = members.values.filter { isLive(it) }.map { it.parts }

    private fun isLive(member: Member) =
        clock.nowMilliseconds() - member.lastSeenAtMilliseconds <= LIVENESS_TIMEOUT_MILLISECONDS

    private fun isInOwnRegion(member: Member): Boolean {
        val domain = member.digest?.failureDomain ?: return true
        return regionOf(FailureDomainId(domain)) == ownRegion
    }

    /**
     * Returns whether [digest] was sent before what is known of [member].
     *
     * A run is numbered by the wall clock, which may have been set back before it started, so a lower number is also that
     * of a new run once the known one is silent.
     */
    private fun isOlder(digest: MemberDigest, member: Member): Boolean {
        val known = member.digest ?: return false
        if (digest.incarnation == known.incarnation) return member.parts.isOutdated(digest)
        val silence = clock.nowMilliseconds() - member.lastSeenAtMilliseconds
        return digest.incarnation < known.incarnation && silence < MAX_DATAGRAM_DELAY_MILLISECONDS
    }

    private companion object {
        /** A member that has sent no digest for this long is assumed to have no requests in flight. */
        const val LIVENESS_TIMEOUT_MILLISECONDS = 2_000L
        const val DEMAND_VALIDITY_MILLISECONDS = 15_000L

        /** Digests of an earlier run may still arrive for this long after it has ended. */
        const val MAX_DATAGRAM_DELAY_MILLISECONDS = 1_500L
        const val EXPIRY_MILLISECONDS = 60_000L
        const val FAILED_OFFER_BACKOFF_MILLISECONDS = 1_000L
        const val OTHER_REGION_PENALTY_MILLISECONDS = 300L
    }
}
