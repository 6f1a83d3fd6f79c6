package toucanrelay.core.following

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash

/** Orders members in a way that all of them agree on without any exchange. */
public object ReaderRank {
    /** The place of [self] among [others] and itself, from 0. */
    public fun of(self: InstanceId, others: Collection<InstanceId>): Int {
        val own = weightOf(self)
        return others.count { it != self && isBefore(weightOf(it), it, own, self) }
    }

    private fun isBefore(
        weight: Double,
        instance: InstanceId,
        ownWeight: Double,
        self: InstanceId,
    ): Boolean = weight > ownWeight || (weight == ownWeight && instance.value < self.value)

    private fun weightOf(instance: InstanceId) = StableHash.toUnit(StableHash.of(instance.value))
}
