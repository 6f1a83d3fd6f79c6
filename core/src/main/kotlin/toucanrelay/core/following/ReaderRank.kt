package toucanrelay.core.following

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash

/** Ranks members by hash, so that all of them agree on the order without communication. */
public object ReaderRank {
    /** Returns the zero-based rank of [self] among itself and [others]. */
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
