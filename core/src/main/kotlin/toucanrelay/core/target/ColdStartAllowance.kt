package toucanrelay.core.target

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash
import toucanrelay.core.identity.TargetId

/**
 * Divides what a cold target bears among the instances of the fleet without any exchange between them.
 *
 * Each cold target has a few senders, chosen by rendezvous hashing over the members, and each of them may send an
 * equal part. Instances that know different members choose mostly the same senders.
 */
public object ColdStartAllowance {
    /** Requests that [self] may send to [target] in any second, when it bears [perSecond] from the whole fleet. */
    public fun perSecond(
        target: TargetId,
        self: InstanceId,
        members: Collection<InstanceId>,
        perSecond: Double,
    ): Int {
        val senders = sendersOf(target, members + self, perSecond)
        if (self !in senders) return 0
        return (perSecond / senders.size).toInt()
    }

    private fun sendersOf(target: TargetId, members: Collection<InstanceId>, perSecond: Double): List<InstanceId> {
        val most = (perSecond / LEAST_PART_PER_SECOND).toInt().coerceAtLeast(1)
        val hashOfTarget = StableHash.of(target.value)
        return members
            .distinct()
            .map { it to StableHash.toUnit(StableHash.combine(hashOfTarget, StableHash.of(it.value))) }
            .sortedByDescending { (_, weight) -> weight }
            .take(most)
            .map { (member, _) -> member }
    }

    private const val LEAST_PART_PER_SECOND = 2.0
}
