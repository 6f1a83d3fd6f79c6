package toucanrelay.core.overload

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash
import toucanrelay.core.time.Clock
import kotlin.math.log2
import kotlin.math.pow

/**
 * Divides the engines that organisations above their share may use among the instances, without coordination.
 *
 * All instances see the same engine become free and know of each other's requests only with the next digests. If each of
 * them used it, what an organisation receives would grow with the number of instances that its callers reach. In each
 * short period, an instance therefore uses a pseudorandom selection of the engines for such an organisation: at twice its
 * share, less than one instance on average uses each engine.
 */
public class SpareCapacityTurns(
    self: InstanceId,
    private val clock: Clock,
) {
    private val selfHash = StableHash.of(self.value)

    /** The targets that this instance may use in one period for an organisation. */
    public class Turn internal constructor(
        private val instanceHash: Long,
        private val period: Long,
        private val fraction: Double,
    ) {
        /** Returns whether the target with [targetHash] may be used. */
        public fun includes(targetHash: Long): Boolean =
            StableHash.toUnit(StableHash.combine(StableHash.combine(instanceHash, targetHash), period)) < fraction
    }

    /**
     * Returns the present turn for an organisation: all targets up to its share, and fewer the further it is above.
     *
     * @param instances number of instances in the fleet, including this one.
     * @param usedShare what the organisation receives, as a multiple of its share.
     */
    public fun now(instances: Int, usedShare: Double): Turn {
        val fraction = maxOf(1.0, usedShare).pow(-log2(instances * INSTANCES_FACTOR))
        return Turn(selfHash, clock.nowMilliseconds() / PERIOD_MILLISECONDS, fraction)
    }

    private companion object {
        /** Digests of the instances in the same region arrive within this time. */
        const val PERIOD_MILLISECONDS = 200L

        /** At twice its share, one in so many times all instances has its turn. */
        const val INSTANCES_FACTOR = 2.0
    }
}
