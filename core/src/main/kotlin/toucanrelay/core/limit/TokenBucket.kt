package toucanrelay.core.limit

import toucanrelay.core.time.Clock

/**
 * Limits a rate while allowing short bursts.
 *
 * @property ratePerSecond amount added per second.
 * @property capacity maximum burst.
 * @param initialLevel amount at the start, at most the capacity; the bucket starts full by default.
 */
public class TokenBucket(
    private val clock: Clock,
    private val ratePerSecond: Double,
    private val capacity: Double,
    initialLevel: Double = capacity,
) {
    private var filledLevel = minOf(initialLevel, capacity)
    private var filledAtMilliseconds = clock.nowMilliseconds()

    init {
        require(ratePerSecond >= 0) { "the rate must not be negative: $ratePerSecond" }
        require(capacity > 0) { "the capacity must be positive: $capacity" }
    }

    /** The amount in the bucket now; negative if there is a debt. */
    public val level: Double
        get() {
            refill()
            return filledLevel
        }

    /** Takes [amount] if the bucket contains that much; returns whether it did. */
    public fun tryTake(amount: Double = 1.0): Boolean {
        refill()
        if (filledLevel < amount) return false
        filledLevel -= amount
        return true
    }

    /**
     * Takes [amount] unconditionally.
     *
     * The level may become negative, by at most the capacity; this debt is refilled before [tryTake] succeeds again.
     */
    public fun take(amount: Double) {
        refill()
        filledLevel = maxOf(filledLevel - amount, -capacity)
    }

    /**
     * Returns the milliseconds until [amount] can be taken: zero when it can be taken now, [Long.MAX_VALUE] when it
     * never can.
     */
    public fun millisecondsUntil(amount: Double = 1.0): Long {
        refill()
        val missing = amount - filledLevel
        return when {
            missing <= 0 -> 0
            ratePerSecond == 0.0 || amount > capacity -> Long.MAX_VALUE
            else -> kotlin.math.ceil(missing / ratePerSecond * MILLISECONDS_PER_SECOND).toLong()
        }
    }

    private fun refill() {
        val now = clock.nowMilliseconds()
        filledLevel =
            minOf(capacity, filledLevel + (now - filledAtMilliseconds) * ratePerSecond / MILLISECONDS_PER_SECOND)
        filledAtMilliseconds = now
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
