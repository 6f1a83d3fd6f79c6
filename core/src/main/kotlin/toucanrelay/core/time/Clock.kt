package toucanrelay.core.time

/**
 * Source of time in milliseconds since an arbitrary origin; monotonic, except for [EpochClock].
 *
 * All time-dependent decisions read this interface, so that tests can supply their own clock.
 */
public fun interface Clock {
    /** Returns the milliseconds since the origin. */
    public fun nowMilliseconds(): Long
}

/** Reads the monotonic clock of the Java virtual machine. */
public object MonotonicClock : Clock {
    private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

    override fun nowMilliseconds(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND
}

/**
 * Reads the wall clock, in milliseconds since 1970-01-01T00:00Z.
 *
 * The wall clock may jump, so use it only for decisions that are safe under any reading.
 */
public object EpochClock : Clock {
    override fun nowMilliseconds(): Long = System.currentTimeMillis()
}
