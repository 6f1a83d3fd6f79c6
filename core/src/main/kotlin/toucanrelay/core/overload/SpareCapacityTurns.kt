package toucanrelay.core.overload

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash
import toucanrelay.core.time.Clock
import kotlin.math.log2
import kotlin.math.pow

/**
 * Divides the engines that organisations above their share may use among the instances, without coordination.
 *
 * All instances see the same engine become free and know of each other's requests only with the next digests. In each short
 * period, an instance therefore uses a pseudorandom selection of the engines for organisations above their share, such that
 * on average less than one instance uses each engine for an organisation at twice its share. Otherwise, what such an organisation receives would grow with the number
 * of instances that its callers reach.
 */
public class SpareCapacityTurns(
    self: InstanceId,
    private val clock: Clock,
) {
    private val selfHash = StableHash.of(self.value)

    /**
     * Returns whether this instance, one of [instances], may use the target with [targetHash] now for an organisation that
     * receives [usedShare] of its share; always up to the share, and less often the further it is above.
     */
    public fun hasTurn(targetHash: Long, instances: Int, usedShare: Double): Boolean {
        if (usedShare <= 1) return true
        val fraction = usedShare.pow(-log2(instances * INSTANCES_FACTOR))
        val period = clock.nowMilliseconds() / PERIOD_MILLISECONDS
        val hash = StableHash.combine(StableHash.combine(selfHash, targetHash), period)
        return StableHash.toUnit(hash) < fraction
    }

    private companion object {
        /** Digests of the instances in the same region arrive within this time. */
        const val PERIOD_MILLISECONDS = 200L

        /** At twice its share, an organisation may use each target at one instance in so many times all of them. */
        const val INSTANCES_FACTOR = 2.0
    }
}
