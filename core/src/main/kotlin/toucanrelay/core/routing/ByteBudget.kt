package toucanrelay.core.routing

import toucanrelay.core.time.Clock

/**
 * A token bucket that limits the bytes sent over links to other regions.
 *
 * Bytes are reserved in advance, and the actual amount is settled afterwards. Over any period, the settled bytes are at
 * most [burstBytes], plus the rate times the period, plus the amount by which usage exceeded the reservations.
 *
 * @param bytesPerSecond refill rate of the bucket.
 * @param burstBytes capacity of the bucket.
 */
public class ByteBudget(
    private val bytesPerSecond: Long,
    private val burstBytes: Long,
    private val clock: Clock,
) {
    private var level = burstBytes.toDouble()
    private var filledAtMilliseconds = clock.nowMilliseconds()

    /** Returns whether [bytes] can be reserved now; an amount above the burst is available once the bucket is full. */
    public fun isAvailable(bytes: Long): Boolean {
        fill()
        return level > 0 && level >= minOf(bytes, burstBytes)
    }

    /** Reserves [bytes]; returns false if they are not available. */
    public fun reserve(bytes: Long): Boolean {
        if (!isAvailable(bytes)) return false
        level -= bytes
        return true
    }

    /** Replaces a reservation with the bytes actually used. */
    public fun settle(reservedBytes: Long, usedBytes: Long) {
        fill()
        level = minOf(burstBytes.toDouble(), level + reservedBytes - usedBytes)
    }

    private fun fill() {
        val now = clock.nowMilliseconds()
        val added = (now - filledAtMilliseconds) * bytesPerSecond / MILLISECONDS_PER_SECOND
        level = minOf(burstBytes.toDouble(), level + added)
        filledAtMilliseconds = now
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
