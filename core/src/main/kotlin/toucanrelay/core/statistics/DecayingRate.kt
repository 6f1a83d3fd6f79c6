package toucanrelay.core.statistics

import toucanrelay.core.time.Clock
import kotlin.math.exp

/**
 * A rate per second in which older amounts count exponentially less.
 *
 * @param memoryMilliseconds time after which an amount counts 1/e of what it did.
 */
public class DecayingRate(
    private val clock: Clock,
    private val memoryMilliseconds: Long,
) {
    private var level = 0.0
    private var updatedAtMilliseconds = clock.nowMilliseconds()

    /** The rate per second. */
    public val perSecond: Double
        get() {
            decay()
            return level * MILLISECONDS_IN_A_SECOND / memoryMilliseconds
        }

    /** Adds [amount], which may be negative to correct an earlier one. */
    public fun add(amount: Double) {
        decay()
        level = maxOf(0.0, level + amount)
    }

    private fun decay() {
        val now = clock.nowMilliseconds()
        if (now == updatedAtMilliseconds) return
        level *= exp(-(now - updatedAtMilliseconds).toDouble() / memoryMilliseconds)
        updatedAtMilliseconds = now
    }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000.0
    }
}
