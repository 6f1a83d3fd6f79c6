package toucanrelay.gateway.member

import toucanrelay.core.following.ReaderRank
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.overload.UsageRate
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock

/**
 * What this process knows of the other members; confined to the event loop.
 *
 * Members that have been silent for long are forgotten, so that those which were replaced for good neither get digests
 * nor count in the fleet's budgets. They come back when they are heard or register a later run.
 *
 * @param regionOf the region of a failure domain.
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
        var heardAtMilliseconds: Long,
    ) {
        var digest: MemberDigest? = null
        var offersFailedUntilMilliseconds = Long.MIN_VALUE
    }

    private class Forgotten(
        val incarnation: Long,
        val atMilliseconds: Long,
    )

    private val members = HashMap<InstanceId, Member>()
    private val forgotten = HashMap<InstanceId, Forgotten>()

    /** Addresses of the members in this process's region, and of those whose region is not known yet. */
    val nearAddresses: List<TargetAddress>
        get() = members.values.filter { isNear(it) }.map { it.address }

    /** Addresses of the members in other regions. */
    val farAddresses: List<TargetAddress>
        get() = members.values.filter { !isNear(it) }.map { it.address }

    /** The other members that were heard lately or registered. */
    val others: Set<InstanceId>
        get() = members.keys

    /** Members that share the fleet's budgets, this one among them. */
    val size: Int
        get() = members.size + 1

    /** Notes that [instance] registered its run [incarnation] at [address]. */
    fun noteRegistered(instance: InstanceId, incarnation: Long, address: TargetAddress) {
        if (instance == self || incarnation <= (forgotten[instance]?.incarnation ?: Long.MIN_VALUE)) return
        val member = members.getOrPut(instance) { Member(address, incarnation, clock.nowMilliseconds()) }
        member.address = address
        member.incarnation = maxOf(member.incarnation, incarnation)
    }

    /** Forgets the members that have been silent for long. */
    fun forgetSilent() {
        val oldest = clock.nowMilliseconds() - FORGOTTEN_AFTER_MILLISECONDS
        val silent = members.filterValues { it.heardAtMilliseconds < oldest }
        silent.forEach { (instance, member) ->
            members.remove(instance)
            forgotten[instance] = Forgotten(member.incarnation, clock.nowMilliseconds())
        }
    }

    /** How long ago [instance] was forgotten; null when it was not, or was heard since. */
    fun forgottenMilliseconds(instance: InstanceId): Long? =
        forgotten[instance]?.let { clock.nowMilliseconds() - it.atMilliseconds }

    /** This process's place among the live members of its region that may read from the store. */
    fun readerRank(): Int =
        ReaderRank.of(self, members.filterValues { isLive(it) && isNear(it) && it.digest?.isLeaving == false }.keys)

    /** The freshest copy of [table] that a live member offers, a near one before one that is little fresher. */
    fun bestOffer(table: String): TableOffer? =
        members.mapNotNull { offerOf(it, table) }.minByOrNull { it.ageMilliseconds }

    /** Notes that a member did not give what it offered; it is not asked again for a while. */
    fun noteOfferFailed(offer: TableOffer) {
        val until = clock.nowMilliseconds() + FAILED_OFFER_PAUSE_MILLISECONDS
        members[offer.instance]?.offersFailedUntilMilliseconds = until
    }

    /** The member's offer of [table]; that of a far member counts as older than it is. */
    private fun offerOf(entry: Map.Entry<InstanceId, Member>, table: String): TableOffer? {
        val (instance, member) = entry
        val now = clock.nowMilliseconds()
        if (!isLive(member) || now < member.offersFailedUntilMilliseconds) return null
        val offered = member.digest?.tables?.find { it.table == table } ?: return null
        val age = offered.ageMilliseconds + now - member.heardAtMilliseconds
        val penalty = if (isNear(member)) 0 else FAR_OFFER_PENALTY_MILLISECONDS
        return TableOffer(instance, member.address, age + penalty)
    }

    /** Takes [digest] and tells whether it is newer than the one known; [address] is where it came from. */
    fun note(digest: MemberDigest, address: TargetAddress): Boolean {
        val instance = InstanceId(digest.instance)
        if (instance == self) return false
        val now = clock.nowMilliseconds()
        forgotten.remove(instance)
        val member = members.getOrPut(instance) { Member(address, digest.incarnation, now) }
        if (isOlder(digest, member.digest)) return false
        member.digest = digest
        member.incarnation = digest.incarnation
        member.heardAtMilliseconds = now
        return true
    }

    /** What all other members have at each target. */
    fun loads(): Map<TargetId, OthersLoad> =
        liveDigests()
            .flatMap { it.loads }
            .groupBy { TargetId(it.target) }
            .mapValues { (_, entries) -> OthersLoad.sum(entries) }

    /** What organisations ask for and get at all other members. */
    fun usage(): Map<OrganisationId, UsageRate> {
        val usage = HashMap<OrganisationId, UsageRate>()
        liveDigests().flatMap { it.usage }.forEach { entry ->
            val rate = UsageRate(entry.demanded.toDouble(), entry.served.toDouble())
            usage.merge(OrganisationId(entry.organisation), rate, UsageRate::plus)
        }
        return usage
    }

    private fun liveDigests(): List<MemberDigest> = members.values.filter { isLive(it) }.mapNotNull { it.digest }

    private fun isLive(member: Member) = clock.nowMilliseconds() - member.heardAtMilliseconds <= LIVE_MILLISECONDS

    private fun isNear(member: Member): Boolean {
        val domain = member.digest?.failureDomain ?: return true
        return regionOf(FailureDomainId(domain)) == ownRegion
    }

    private fun isOlder(digest: MemberDigest, known: MemberDigest?): Boolean =
        known != null &&
            (
                digest.incarnation < known.incarnation ||
                    (digest.incarnation == known.incarnation && digest.sequence <= known.sequence)
            )

    private companion object {
        /** A member that was not heard for this long is taken to have nothing in flight. */
        const val LIVE_MILLISECONDS = 2_000L
        const val FORGOTTEN_AFTER_MILLISECONDS = 60_000L
        const val FAILED_OFFER_PAUSE_MILLISECONDS = 1_000L
        const val FAR_OFFER_PENALTY_MILLISECONDS = 300L
    }
}
