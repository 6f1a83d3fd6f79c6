package toucanrelay.core.routing

import toucanrelay.core.time.Clock

/**
 * A token bucket of bytes for links to other regions.
 *
 * A reservation is granted while the bucket is not empty, and the true amount is settled afterwards. Over any time the
 * bytes settled stay below the burst, the rate times that time, and the amount by which reservations fell short.
 *
 * @param bytesPerSecond rate at which the bucket fills.
 * @param burstBytes most that the bucket holds.
 * @param clock the time.
 */
public class ByteBudget(
    private val bytesPerSecond: Long,
    private val burstBytes: Long,
    private val clock: Clock,
) {
    private var level = burstBytes.toDouble()
    private var filledAtMilliseconds = clock.nowMilliseconds()

    /** Whether [bytes] may be reserved now; more than the burst may be when the bucket is full. */
    public fun isAvailable(bytes: Long): Boolean {
        fill()
        return level > 0 && level >= minOf(bytes, burstBytes)
    }

    /** Reserves [bytes] if they are available. */
    public fun reserve(bytes: Long): Boolean {
        if (!isAvailable(bytes)) return false
        level -= bytes
        return true
    }

    /** Replaces a reservation by what was used. */
    public fun settle(reservedBytes: Long, usedBytes: Long) {
        fill()
        level = minOf(burstBytes.toDouble(), level + reservedBytes - usedBytes)
    }

    private fun fill() {
        val now = clock.nowMilliseconds()
        val added = (now - filledAtMilliseconds) * bytesPerSecond / MILLISECONDS_IN_A_SECOND
        level = minOf(burstBytes.toDouble(), level + added)
        filledAtMilliseconds = now
    }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000.0
    }
}
