package toucanrelay.core.allowance

import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.Clock

/** Keeps the requests of one instance to [target] within its part of what the target takes from the whole fleet. */
public class TargetPacing(
    private val clock: Clock,
    private val target: TargetId,
) {
    private var validUntilMilliseconds = Long.MIN_VALUE

    /** Spaces the requests of this instance. */
    public val pacer: RequestPacer = RequestPacer(clock)

    /** Requests per second that the target takes from the whole fleet; null if their rate is not limited. */
    public var fleetRequestsPerSecond: Double? = null
        private set

    /** Whether the rate of requests is limited. */
    public val isLimited: Boolean
        get() = fleetRequestsPerSecond != null

    /**
     * Applies the tightest part of [limits], which hold at the same time.
     *
     * @param self this instance.
     * @param demands returns the requests per second that callers ask of each instance; called only now and then.
     */
    public fun update(limits: List<FleetRateLimit>, self: InstanceId, demands: () -> Map<InstanceId, Double>) {
        if (limits.isEmpty() && !isLimited) return
        val fleetRate = limits.minOfOrNull { it.requestsPerSecond }
        val isCurrent = fleetRate == fleetRequestsPerSecond && clock.nowMilliseconds() < validUntilMilliseconds
        fleetRequestsPerSecond = fleetRate
        if (fleetRate == null) {
            pacer.ratePerSecond = null
        } else if (!isCurrent) {
            val current = demands()
            pacer.ratePerSecond = limits.minOf { RateDivision.requestsPerSecond(target, self, current, it) }
            validUntilMilliseconds = clock.nowMilliseconds() + VALIDITY_MILLISECONDS
        }
    }

    private companion object {
        const val VALIDITY_MILLISECONDS = 200L
    }
}
