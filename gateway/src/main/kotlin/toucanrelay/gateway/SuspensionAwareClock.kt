package toucanrelay.gateway

import toucanrelay.core.time.Clock

/**
 * A clock for ages that must never be underestimated.
 *
 * The monotonic clock stops while the instance is suspended, and the wall clock can be adjusted. Each reading advances
 * by the larger of the two increments, so suspensions are counted and an adjustment can only make ages larger.
 */
internal class SuspensionAwareClock(
    private val monotonicClock: Clock,
    private val wallClock: Clock,
) : Clock {
    private var lastMonotonicMilliseconds = monotonicClock.nowMilliseconds()
    private var lastWallMilliseconds = wallClock.nowMilliseconds()
    private var readingMilliseconds = 0L

    @Synchronized
    override fun nowMilliseconds(): Long {
        val nowMonotonic = monotonicClock.nowMilliseconds()
        val nowWall = wallClock.nowMilliseconds()
        readingMilliseconds += maxOf(nowMonotonic - lastMonotonicMilliseconds, nowWall - lastWallMilliseconds, 0)
        lastMonotonicMilliseconds = nowMonotonic
        lastWallMilliseconds = nowWall
        return readingMilliseconds
    }
}
