package toucanrelay.gateway

import toucanrelay.core.time.Clock

/**
 * A clock for ages that must never be told too small.
 *
 * The steady clock stands still while the instance is suspended, and the time of day may step. Each reading advances
 * by whichever of the two moved further, so a suspension counts and a step of the time of day only makes ages larger.
 */
internal class SuspensionAwareClock(
    private val steady: Clock,
    private val timeOfDay: Clock,
) : Clock {
    private var lastSteady = steady.nowMilliseconds()
    private var lastTimeOfDay = timeOfDay.nowMilliseconds()
    private var reading = 0L

    @Synchronized
    override fun nowMilliseconds(): Long {
        val nowSteady = steady.nowMilliseconds()
        val nowTimeOfDay = timeOfDay.nowMilliseconds()
        reading += maxOf(nowSteady - lastSteady, nowTimeOfDay - lastTimeOfDay, 0)
        lastSteady = nowSteady
        lastTimeOfDay = nowTimeOfDay
        return reading
    }
}
