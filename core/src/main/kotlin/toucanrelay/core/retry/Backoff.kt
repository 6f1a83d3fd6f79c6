package toucanrelay.core.retry

import kotlin.random.Random

/**
 * Exponential backoff with full jitter.
 *
 * Source: M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
 *
 * @property baseMilliseconds upper bound of the first delay.
 * @property capMilliseconds upper bound of every delay.
 */
public data class Backoff(
    public val baseMilliseconds: Long,
    public val capMilliseconds: Long,
) {
    init {
        require(baseMilliseconds in 1..capMilliseconds) { "backoff requires 1 <= baseMilliseconds <= capMilliseconds" }
    }

    /** Returns a random delay before the attempt that follows [failures] consecutive failures. */
    public fun delayMilliseconds(failures: Int, random: Random): Long {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        val bound = minOf(capMilliseconds, baseMilliseconds shl doublings)
        return random.nextLong(bound + 1)
    }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
