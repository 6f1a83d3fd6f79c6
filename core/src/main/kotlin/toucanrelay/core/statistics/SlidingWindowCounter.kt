package toucanrelay.core.statistics

import toucanrelay.core.time.Clock

/**
 * Counts the events of the last [windowMilliseconds] exactly.
 *
 * @property windowMilliseconds length of the window; when it grows, events that were already outside stay uncounted.
 */
public class SlidingWindowCounter(
    private val clock: Clock,
    public var windowMilliseconds: Long,
) {
    private val timesMilliseconds = ArrayDeque<Long>()

    /** Records one event. */
    public fun add() {
        timesMilliseconds.addLast(clock.nowMilliseconds())
    }

    /** Returns the number of events in the window that ends now. */
    public fun count(): Int {
        val oldest = clock.nowMilliseconds() - windowMilliseconds
        while (timesMilliseconds.isNotEmpty() && timesMilliseconds.first() <= oldest) timesMilliseconds.removeFirst()
        return timesMilliseconds.size
    }
}
