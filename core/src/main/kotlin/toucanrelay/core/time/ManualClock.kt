package toucanrelay.core.time

import java.util.concurrent.atomic.AtomicLong

/**
 * A clock that advances only through [advance], for tests and for replaying decisions.
 *
 * @param startMilliseconds the initial reading.
 */
public class ManualClock(
    startMilliseconds: Long = 0,
) : Clock {
    private val readingMilliseconds = AtomicLong(startMilliseconds)

    override fun nowMilliseconds(): Long = readingMilliseconds.get()

    /** Advances the clock by [milliseconds], which must not be negative. */
    public fun advance(milliseconds: Long) {
        require(milliseconds >= 0) { "cannot move the clock backwards: $milliseconds ms" }
        readingMilliseconds.addAndGet(milliseconds)
    }
}
