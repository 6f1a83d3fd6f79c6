package toucanrelay.core.allowance

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash
import toucanrelay.core.identity.TargetId
import kotlin.math.ln

/**
 * Divides a limit on the request rate of a target among the instances of the fleet without coordination.
 *
 * Instances with much demand, and a few others chosen by rendezvous hashing weighted with demand, send to the target
 * and divide the rate by their demand. Instances with different views of the fleet choose mostly the same senders. The
 * number of senders is bounded, since each of them may send one request at any moment, however small its part of the
 * rate is.
 */
public object RateDivision {
    /**
     * Returns the requests per second that [self] may send to [target]; zero if it is not one of the senders.
     *
     * @param demands requests per second that callers ask of each instance that may send to the target.
     */
    public fun requestsPerSecond(
        target: TargetId,
        self: InstanceId,
        demands: Map<InstanceId, Double>,
        limit: FleetRateLimit,
    ): Double {
        val weights = demands.mapValues { (_, demand) -> maxOf(demand, MIN_DEMAND_PER_SECOND) }
        val parts = partsOf(target, weights, maxSenders(limit))
        val own = parts[self] ?: return 0.0
        return limit.requestsPerSecond * own / parts.values.sum()
    }

    /**
     * Returns the relative parts of the senders.
     *
     * Instances with much of the demand are always senders. Of the others a few are, each with the same part, so that
     * over many targets each instance gets in proportion to its demand.
     */
    private fun partsOf(target: TargetId, weights: Map<InstanceId, Double>, count: Int): Map<InstanceId, Double> {
        if (weights.size <= count) return weights
        val equalPart = weights.values.sum() / count
        val (large, small) = weights.entries.partition { it.value >= equalPart }
        val smallSenders = sendersOf(target, small.associate { it.toPair() }, count - large.size)
        val smallPart = small.sumOf { it.value } / maxOf(1, smallSenders.size)
        return large.associate { it.toPair() } + smallSenders.associateWith { smallPart }
    }

    private fun sendersOf(target: TargetId, weights: Map<InstanceId, Double>, count: Int): List<InstanceId> {
        val targetHash = StableHash.of(target.value)
        return weights.keys
            .map { it to rendezvousScore(targetHash, it, weights.getValue(it)) }
            .sortedByDescending { (_, score) -> score }
            .take(count)
            .map { (member, _) -> member }
    }

    /** Returns a score that is the highest among the instances with a probability in proportion to [weight]. */
    private fun rendezvousScore(targetHash: Long, member: InstanceId, weight: Double): Double =
        ln(StableHash.toUnit(StableHash.combine(targetHash, StableHash.of(member.value)))) / weight

    private fun maxSenders(limit: FleetRateLimit): Int {
        val inWindow = limit.requestsPerSecond * limit.windowMilliseconds / MILLISECONDS_PER_SECOND
        return (inWindow * BURST_FRACTION).toInt() + MIN_SENDERS
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Part of the requests of a window by which senders may exceed it if each sends one request at once. */
    private const val BURST_FRACTION = 0.25
    private const val MIN_SENDERS = 2

    /** An instance without recent demand gets a small part, so that its first request need not wait long. */
    private const val MIN_DEMAND_PER_SECOND = 0.2
}
