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
