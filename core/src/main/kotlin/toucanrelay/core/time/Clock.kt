package toucanrelay.core.time

/**
 * Tells time in milliseconds from an arbitrary origin, never going backwards.
 *
 * All decisions read time through this interface, so that tests can drive them with a clock of their own.
 */
public fun interface Clock {
    /** Returns the milliseconds that have passed since the origin. */
    public fun nowMilliseconds(): Long
}

/** Reads the monotonic clock of the Java virtual machine. */
public object MonotonicClock : Clock {
    private const val NANOSECONDS_IN_A_MILLISECOND = 1_000_000L

    override fun nowMilliseconds(): Long = System.nanoTime() / NANOSECONDS_IN_A_MILLISECOND
}

/**
 * Reads the wall clock, in milliseconds since 1970-01-01T00:00Z.
 *
 * It may step; only decisions that stay safe under any reading may use it.
 */
public object EpochClock : Clock {
    override fun nowMilliseconds(): Long = System.currentTimeMillis()
}
