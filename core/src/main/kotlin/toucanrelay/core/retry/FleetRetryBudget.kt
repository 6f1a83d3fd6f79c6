package toucanrelay.core.retry

import toucanrelay.core.statistics.SlidingWindowCounter
import toucanrelay.core.time.Clock

/**
 * Limits on the retries that the whole fleet sends to one service.
 *
 * @property ratio retries allowed per caller request in a window.
 * @property reserve additional retries allowed in a window across the fleet.
 * @property windowMilliseconds length of the sliding window.
 */
public data class RetryBudgetSettings(
    public val ratio: Double,
    public val reserve: Double,
    public val windowMilliseconds: Long,
)

/**
 * This instance's share of the fleet's retry budget for one service.
 *
 * Each instance applies the ratio to its own requests and uses an equal share of the reserve, so that the fleet stays
 * within its budget without coordination.
 */
public class FleetRetryBudget(
    clock: Clock,
    settings: RetryBudgetSettings,
) {
    private val requests = SlidingWindowCounter(clock, settings.windowMilliseconds)
    private val retries = SlidingWindowCounter(clock, settings.windowMilliseconds)

    /** The limits in force; requests and retries from before a change still count. */
    public var settings: RetryBudgetSettings = settings
        set(value) {
            field = value
            requests.windowMilliseconds = value.windowMilliseconds
            retries.windowMilliseconds = value.windowMilliseconds
        }

    /** Records a request from a caller. */
    public fun recordRequest() {
        requests.add()
    }

    /** Acquires one retry; returns false if this instance has used up its share of a fleet of [instances]. */
    public fun tryAcquire(instances: Int): Boolean {
        if (!isAvailable(instances)) return false
        retries.add()
        return true
    }

    /** Returns whether a retry is left for this instance of a fleet of [instances]. */
    public fun isAvailable(instances: Int): Boolean {
        val allowed =
            requests.count() * settings.ratio * USABLE_FRACTION +
                settings.reserve * USABLE_FRACTION / maxOf(1, instances)
        return retries.count() + 1 <= allowed
    }

    private companion object {
        /** Leaves headroom for delayed retries and for members not yet known to this instance. */
        const val USABLE_FRACTION = 0.7
    }
}
