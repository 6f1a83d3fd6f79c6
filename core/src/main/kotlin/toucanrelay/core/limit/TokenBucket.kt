package toucanrelay.core.limit

import toucanrelay.core.time.Clock

/**
 * Limits a rate while it lets short bursts pass.
 *
 * @property ratePerSecond amount that flows in each second.
 * @property capacity the largest burst; the bucket starts full.
 */
public class TokenBucket(
    private val clock: Clock,
    private val ratePerSecond: Double,
    private val capacity: Double,
) {
    private var level = capacity
    private var filledAtMilliseconds = clock.nowMilliseconds()

    init {
        require(ratePerSecond >= 0) { "the rate is not negative: $ratePerSecond" }
        require(capacity > 0) { "the capacity is positive: $capacity" }
    }

    /** Takes [amount] and returns true, or takes nothing and returns false. */
    public fun tryTake(amount: Double = 1.0): Boolean {
        refill()
        if (level < amount) return false
        level -= amount
        return true
    }

    /** Takes [amount] even when that leaves a debt, of at most the capacity, which is repaid first. */
    public fun take(amount: Double) {
        refill()
        level = maxOf(level - amount, -capacity)
    }

    /** Milliseconds until [amount] can be taken, zero when it can be taken now. */
    public fun millisecondsUntil(amount: Double = 1.0): Long {
        refill()
        val missing = amount - level
        return when {
            missing <= 0 -> 0
            ratePerSecond == 0.0 || amount > capacity -> Long.MAX_VALUE
            else -> kotlin.math.ceil(missing / ratePerSecond * MILLISECONDS_IN_A_SECOND).toLong()
        }
    }

    private fun refill() {
        val now = clock.nowMilliseconds()
        level = minOf(capacity, level + (now - filledAtMilliseconds) * ratePerSecond / MILLISECONDS_IN_A_SECOND)
        filledAtMilliseconds = now
    }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000.0
    }
}
