package toucanrelay.core.overload

import kotlin.random.Random

/** Chooses the delay after which a refused caller may retry. */
public object RetryDelay {
    /**
     * Returns the delay in milliseconds, with jitter so that refused callers do not retry at the same time.
     *
     * Callers wait for at most a third of their remaining time, so they would not follow a longer delay.
     */
    public fun milliseconds(remainingMilliseconds: Long, random: Random): Long {
        val upperBound =
            (remainingMilliseconds * UPPER_BOUND_FRACTION_OF_REMAINING).toLong().coerceIn(
                MIN_UPPER_BOUND_MILLISECONDS,
                MAX_UPPER_BOUND_MILLISECONDS,
            )
        val lowerBound = (upperBound * LOWER_BOUND_FRACTION_OF_UPPER).toLong()
        return lowerBound + random.nextLong(upperBound - lowerBound + 1)
    }

    /** Returns the delay in milliseconds if the request can be served from [returnMilliseconds] on, with jitter. */
    public fun afterReturnMilliseconds(returnMilliseconds: Long, random: Random): Long =
        returnMilliseconds + random.nextLong(MAX_RETURN_JITTER_MILLISECONDS)

    /** Returns the delay in milliseconds if only this process cannot serve the request: another one can at once. */
    public fun elsewhereMilliseconds(random: Random): Long =
        MIN_ELSEWHERE_MILLISECONDS + random.nextLong(MIN_ELSEWHERE_MILLISECONDS)

    private const val UPPER_BOUND_FRACTION_OF_REMAINING = 0.3
    private const val LOWER_BOUND_FRACTION_OF_UPPER = 0.5
    private const val MIN_UPPER_BOUND_MILLISECONDS = 50L
    private const val MAX_UPPER_BOUND_MILLISECONDS = 1_500L
    private const val MAX_RETURN_JITTER_MILLISECONDS = 500L
    private const val MIN_ELSEWHERE_MILLISECONDS = 20L
}
