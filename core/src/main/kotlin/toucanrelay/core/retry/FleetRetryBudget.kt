package toucanrelay.core.retry

import toucanrelay.core.statistics.SlidingCount
import toucanrelay.core.time.Clock

/**
 * Terms of the retries that the whole fleet may send to one service.
 *
 * @property ratio retries allowed for each request of callers in a window.
 * @property reserve retries allowed beside that in a window, over the whole fleet.
 * @property windowMilliseconds length of the sliding window.
 */
public data class RetryBudgetTerms(
    public val ratio: Double,
    public val reserve: Double,
    public val windowMilliseconds: Long,
)

/**
 * This instance's part of the fleet's retry budget for one service.
 *
 * Each instance may use the ratio on its own requests and an equal part of the reserve, so that all of them together
 * stay below the fleet's budget without any exchange.
 */
public class FleetRetryBudget(
    clock: Clock,
    private val terms: RetryBudgetTerms,
) {
    private val requests = SlidingCount(clock, terms.windowMilliseconds)
    private val retries = SlidingCount(clock, terms.windowMilliseconds)

    /** Notes a request of a caller. */
    public fun noteRequest() {
        requests.add()
    }

    /** Takes one retry, and returns false when none is left for one of [instances] that share the budget. */
    public fun tryTake(instances: Int): Boolean {
        val allowed = requests.count() * terms.ratio * USED_PART + terms.reserve * USED_PART / maxOf(1, instances)
        if (retries.count() + 1 > allowed) return false
        retries.add()
        return true
    }

    private companion object {
        /** Leaves room for retries that arrive late and for members that are not known yet. */
        const val USED_PART = 0.7
    }
}
