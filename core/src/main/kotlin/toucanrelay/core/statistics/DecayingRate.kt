package toucanrelay.core.statistics

import toucanrelay.core.time.Clock
import kotlin.math.exp

/**
 * Measures a rate per second in which older amounts count exponentially less.
 *
 * @param timeConstantMilliseconds time in which the weight of an amount decays to 1/e.
 */
public class DecayingRate(
    private val clock: Clock,
    private val timeConstantMilliseconds: Long,
) {
    private var level = 0.0
    private var updatedAtMilliseconds = clock.nowMilliseconds()

    /** The current rate per second. */
    public val perSecond: Double
        get() {
            decay()
            return level * MILLISECONDS_PER_SECOND / timeConstantMilliseconds
        }

    /** Adds [amount], which may be negative to correct an earlier amount; the rate does not fall below zero. */
    public fun add(amount: Double) {
        decay()
        level = maxOf(0.0, level + amount)
    }

    private fun decay() {
        val now = clock.nowMilliseconds()
        if (now == updatedAtMilliseconds) return
        level *= exp(-(now - updatedAtMilliseconds).toDouble() / timeConstantMilliseconds)
        updatedAtMilliseconds = now
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
