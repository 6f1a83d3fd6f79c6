package toucanrelay.core.limit

import toucanrelay.core.time.Clock

/**
 * Limits a rate while allowing short bursts.
 *
 * @property ratePerSecond amount added per second.
 * @property capacity maximum burst; the bucket starts full.
 */
public class TokenBucket(
    private val clock: Clock,
    private val ratePerSecond: Double,
    private val capacity: Double,
) {
    private var level = capacity
    private var filledAtMilliseconds = clock.nowMilliseconds()

    init {
        require(ratePerSecond >= 0) { "the rate must not be negative: $ratePerSecond" }
        require(capacity > 0) { "the capacity must be positive: $capacity" }
    }

    /** Takes [amount] if the bucket contains that much; returns whether it did. */
    public fun tryTake(amount: Double = 1.0): Boolean {
        refill()
        if (level < amount) return false
        level -= amount
        return true
    }

    /**
     * Takes [amount] unconditionally.
     *
     * The level may become negative, by at most the capacity; this debt is refilled before [tryTake] succeeds again.
     */
    public fun take(amount: Double) {
        refill()
        level = maxOf(level - amount, -capacity)
    }

    /**
     * Returns the milliseconds until [amount] can be taken: zero when it can be taken now, [Long.MAX_VALUE] when it
     * never can.
     */
    public fun millisecondsUntil(amount: Double = 1.0): Long {
        refill()
        val missing = amount - level
        return when {
            missing <= 0 -> 0
            ratePerSecond == 0.0 || amount > capacity -> Long.MAX_VALUE
            else -> kotlin.math.ceil(missing / ratePerSecond * MILLISECONDS_PER_SECOND).toLong()
        }
    }

    private fun refill() {
        val now = clock.nowMilliseconds()
        level = minOf(capacity, level + (now - filledAtMilliseconds) * ratePerSecond / MILLISECONDS_PER_SECOND)
        filledAtMilliseconds = now
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
