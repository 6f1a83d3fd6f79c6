package toucanrelay.gateway.member

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.overload.UsageRate
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock

/** What this process knows of the other members; confined to the event loop. */
internal class FleetView(
    private val self: InstanceId,
    private val clock: Clock,
) {
    private class Member(
        var address: TargetAddress,
    ) {
        var digest: MemberDigest? = null
        var heardAtMilliseconds = Long.MIN_VALUE / 2
    }

    private val members = HashMap<InstanceId, Member>()

    /** Addresses of all members that have registered. */
    val addresses: List<TargetAddress>
        get() = members.values.map { it.address }

    /** The other members that were heard lately or registered. */
    val others: Set<InstanceId>
        get() = members.keys

    /** Members that share the fleet's budgets, this one among them. */
    val size: Int
        get() = members.size + 1

    /** Notes that [instance] registered itself at [address]. */
    fun noteRegistered(instance: InstanceId, address: TargetAddress) {
        if (instance == self) return
        members.getOrPut(instance) { Member(address) }.address = address
    }

    /** Takes [digest] and tells whether it is newer than the one known; [address] is where it came from. */
    fun note(digest: MemberDigest, address: TargetAddress): Boolean {
        val instance = InstanceId(digest.instance)
        if (instance == self) return false
        val member = members.getOrPut(instance) { Member(address) }
        if (isOlder(digest, member.digest)) return false
        member.digest = digest
        member.heardAtMilliseconds = clock.nowMilliseconds()
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

    private fun liveDigests(): List<MemberDigest> {
        val oldest = clock.nowMilliseconds() - LIVE_MILLISECONDS
        return members.values.filter { it.heardAtMilliseconds >= oldest }.mapNotNull { it.digest }
    }

    private fun isOlder(digest: MemberDigest, known: MemberDigest?): Boolean =
        known != null &&
            (
                digest.incarnation < known.incarnation ||
                    (digest.incarnation == known.incarnation && digest.sequence <= known.sequence)
            )

    private companion object {
        /** A member that was not heard for this long is taken to have nothing in flight. */
        const val LIVE_MILLISECONDS = 1_500L
    }
}
