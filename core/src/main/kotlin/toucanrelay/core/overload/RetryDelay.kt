package toucanrelay.core.overload

import kotlin.random.Random

/** Chooses the delay after which a refused caller may retry. */
public object RetryDelay {
    /**
     * The delay in milliseconds, with jitter so that refused callers do not retry at the same time.
     *
     * Callers wait for at most a third of their remaining time, so they would not follow a longer delay.
     */
    public fun milliseconds(remainingMilliseconds: Long, random: Random): Long {
        val maxDelay =
            (remainingMilliseconds * MAX_DELAY_FRACTION_OF_REMAINING).toLong().coerceIn(
                SMALLEST_MAX_DELAY_MILLISECONDS,
                LARGEST_MAX_DELAY_MILLISECONDS,
            )
        val minDelay = (maxDelay * MIN_DELAY_FRACTION_OF_MAX).toLong()
        return minDelay + random.nextLong(maxDelay - minDelay + 1)
    }

    private const val MAX_DELAY_FRACTION_OF_REMAINING = 0.3
    private const val MIN_DELAY_FRACTION_OF_MAX = 0.5
    private const val SMALLEST_MAX_DELAY_MILLISECONDS = 50L
    private const val LARGEST_MAX_DELAY_MILLISECONDS = 1_500L
}
