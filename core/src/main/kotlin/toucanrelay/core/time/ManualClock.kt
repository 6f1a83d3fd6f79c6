package toucanrelay.core.time

import java.util.concurrent.atomic.AtomicLong

/**
 * A clock that moves only when told to, for tests and for replaying decisions.
 *
 * @param startMilliseconds the first reading.
 */
public class ManualClock(
    startMilliseconds: Long = 0,
) : Clock {
    private val reading = AtomicLong(startMilliseconds)

    override fun nowMilliseconds(): Long = reading.get()

    /** Moves the clock forward by [milliseconds], which must not be negative. */
    public fun advance(milliseconds: Long) {
        require(milliseconds >= 0) { "a clock does not go backwards: $milliseconds ms" }
        reading.addAndGet(milliseconds)
    }
}
