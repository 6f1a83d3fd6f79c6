package toucanrelay.core.statistics

import toucanrelay.core.time.Clock

/** Counts events of the last [windowMilliseconds] exactly. */
public class SlidingCount(
    private val clock: Clock,
    private val windowMilliseconds: Long,
) {
    private val moments = ArrayDeque<Long>()

    /** Notes one event. */
    public fun add() {
        moments.addLast(clock.nowMilliseconds())
    }

    /** Events of the last window. */
    public fun count(): Int {
        val oldest = clock.nowMilliseconds() - windowMilliseconds
        while (moments.isNotEmpty() && moments.first() <= oldest) moments.removeFirst()
        return moments.size
    }
}
