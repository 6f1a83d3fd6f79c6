package toucanrelay.core.target

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash
import toucanrelay.core.identity.TargetId

/**
 * Divides the request rate of a cold target among the instances of the fleet without coordination.
 *
 * Each cold target has a few senders, chosen by rendezvous hashing over the members, and each sender gets an equal
 * share. Instances with different membership views choose mostly the same senders.
 */
public object ColdStartAllowance {
    /**
     * Returns how many requests [self] may send to [target] in any second.
     *
     * @param fleetRequestsPerSecond requests per second that the whole fleet may send to the target.
     */
    public fun requestsPerSecond(
        target: TargetId,
        self: InstanceId,
        members: Collection<InstanceId>,
        fleetRequestsPerSecond: Double,
    ): Int {
        val senders = sendersOf(target, members + self, fleetRequestsPerSecond)
        if (self !in senders) return 0
        return (fleetRequestsPerSecond / senders.size).toInt()
    }

    private fun sendersOf(
        target: TargetId,
        members: Collection<InstanceId>,
        fleetRequestsPerSecond: Double,
    ): List<InstanceId> {
        val maxSenders = (fleetRequestsPerSecond / MIN_SENDER_REQUESTS_PER_SECOND).toInt().coerceAtLeast(1)
        val targetHash = StableHash.of(target.value)
        return members
            .distinct()
            .map { it to StableHash.toUnit(StableHash.combine(targetHash, StableHash.of(it.value))) }
            .sortedByDescending { (_, weight) -> weight }
            .take(maxSenders)
            .map { (member, _) -> member }
    }

    private const val MIN_SENDER_REQUESTS_PER_SECOND = 2.0
}
