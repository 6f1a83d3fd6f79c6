package toucanrelay.core.admission

/**
 * Adapts the maximum number of concurrent requests on a target.
 *
 * The limit starts at the cold limit. It is raised only after a round of completions during which it was in use, with
 * latency near the learned baseline and no loss of throughput against the previous round. It drops to the cold limit
 * immediately when the target rejects or fails a request, restarts, or becomes many times slower. The algorithm follows
 * TCP congestion control (slow start and congestion avoidance, RFC 5681; validation of an unused window, RFC 7661),
 * with completions instead of acknowledgements. Elapsed time alone never raises the limit.
 *
 * Not thread-safe.
 *
 * @param bounds the lowest and highest limit for the target.
 */
public class AdmissionLimit(
    bounds: AdmissionBounds,
) {
    /** The lowest and highest limit for the target. */
    public var bounds: AdmissionBounds = bounds
        private set

    /** Maximum number of concurrent requests. */
    public var current: Int = bounds.coldSlots
        private set

    /**
     * Number of resets to the cold limit.
     *
     * Completions of requests that started in an earlier epoch are ignored; they say nothing about the target since.
     */
    public var epoch: Int = 0
        private set

    private val latency = LatencyBaseline()
    private var round = LatencyRound()
    private var previousRound: RoundResult? = null
    private var slowGrowthThreshold = Int.MAX_VALUE
    private var roundsPerRaise = 1

    /** Whether the limit is still below the slots of a warm target. */
    public val isCold: Boolean
        get() = current < bounds.slots

    /** Replaces the bounds; a limit that is at the old cold limit moves to the new one, any other is clamped. */
    public fun apply(bounds: AdmissionBounds) {
        val wasAtColdLimit = current <= this.bounds.coldSlots
        this.bounds = bounds
        current = if (wasAtColdLimit) bounds.coldSlots else current.coerceIn(bounds.coldSlots, bounds.slots)
    }

    /**
     * Records a request that completed successfully.
     *
     * @param millisecondsPerUnit its duration per service unit.
     * @param inFlight requests that were running when it completed, including itself.
     * @param startedInEpoch the [epoch] in which it started.
     */
    public fun recordCompletion(millisecondsPerUnit: Double, inFlight: Int, startedInEpoch: Int) {
        if (startedInEpoch != epoch) return
        if (latency.add(millisecondsPerUnit)) {
            cut()
            return
        }
        if (inFlight * 2 < current) return
        round.add(millisecondsPerUnit)
        if (round.completions >= completionsNeeded()) endRound()
    }

    /**
     * Drops the limit to the cold limit and slows its later growth.
     *
     * Call it when the target has rejected or failed a request, or has restarted.
     */
    public fun cut() {
        if (current > bounds.coldSlots) {
            slowGrowthThreshold = current / 2
            roundsPerRaise = (roundsPerRaise * 2).coerceAtMost(MAX_ROUNDS_PER_RAISE)
        }
        reset()
    }

    /**
     * Drops the limit to the cold limit after the target was out of service, without slowing later growth.
     *
     * The target is cold again, but that says nothing about how much it can run when warm.
     */
    public fun reset() {
        epoch += 1
        current = bounds.coldSlots
        previousRound = null
        round = LatencyRound()
        latency.resetRecent()
    }

    private fun completionsNeeded(): Int =
        when {
            current <= bounds.coldSlots -> current * ROUNDS_AT_COLD_LIMIT
            current >= slowGrowthThreshold -> current * roundsPerRaise
            else -> current
        }

    private fun endRound() {
        val result = RoundResult(current, round.meanMillisecondsPerUnit)
        val last = previousRound
        round = LatencyRound()
        if (!latency.isNear(result.millisecondsPerUnit)) return
        if (last != null && current > last.limit && result.throughput < last.throughput * MIN_THROUGHPUT_RATIO) {
            current = last.limit
            slowGrowthThreshold = current
            roundsPerRaise = (roundsPerRaise * 2).coerceAtMost(MAX_ROUNDS_PER_RAISE)
            previousRound = null
            return
        }
        previousRound = result
        val step = (current / GROWTH_DIVISOR).coerceAtLeast(1)
        current = (current + step).coerceAtMost(bounds.slots)
        if (current == bounds.slots) roundsPerRaise = 1
    }

    private data class RoundResult(
        val limit: Int,
        val millisecondsPerUnit: Double,
    ) {
        /** Throughput by Little's law: requests in progress divided by the latency. */
        val throughput: Double
            get() = limit / millisecondsPerUnit
    }

    private companion object {
        /** Rounds of completions needed at the cold limit before the first raise. */
        const val ROUNDS_AT_COLD_LIMIT = 4

        /** A raise adds the current limit divided by this, at least one. */
        const val GROWTH_DIVISOR = 4

        /** A raise is reverted when throughput falls below this fraction of the previous round's. */
        const val MIN_THROUGHPUT_RATIO = 0.7

        /** Maximum number of rounds of completions needed for one raise after repeated cuts. */
        const val MAX_ROUNDS_PER_RAISE = 8
    }
}
