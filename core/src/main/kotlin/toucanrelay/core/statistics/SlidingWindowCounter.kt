package toucanrelay.core.statistics

import toucanrelay.core.time.Clock

/** Counts the events of the last [windowMilliseconds] exactly. */
public class SlidingWindowCounter(
    private val clock: Clock,
    private val windowMilliseconds: Long,
) {
    private val timestamps = ArrayDeque<Long>()

    /** Records one event. */
    public fun add() {
        timestamps.addLast(clock.nowMilliseconds())
    }

    /** Returns the number of events in the window that ends now. */
    public fun count(): Int {
        val oldest = clock.nowMilliseconds() - windowMilliseconds
        while (timestamps.isNotEmpty() && timestamps.first() <= oldest) timestamps.removeFirst()
        return timestamps.size
    }
}
