package toucanrelay.core.placement

/**
 * Estimates how fast the engines of a service read prompts from measured times to the first event.
 *
 * @param initialTokensPerMillisecond estimate before the first measurement.
 */
public class EngineSpeed(
    initialTokensPerMillisecond: Double,
) {
    /** Prompt tokens that one engine reads per millisecond while it generates output for other requests. */
    public var tokensPerMillisecond: Double = bounded(initialTokensPerMillisecond)
        private set

    /** Records that a request waited [milliseconds] for its first event, with [tokensAhead] tokens read before it. */
    public fun recordFirstEvent(tokensAhead: Long, milliseconds: Long) {
        if (tokensAhead < MIN_SAMPLE_TOKENS || milliseconds <= OVERHEAD_MILLISECONDS) return
        val sample = bounded(tokensAhead.toDouble() / (milliseconds - OVERHEAD_MILLISECONDS))
        tokensPerMillisecond += (sample - tokensPerMillisecond) * SMOOTHING_FACTOR
    }

    /** Returns the expected milliseconds to the first event of a request with [tokens] to read, including its own. */
    public fun millisecondsToFirstEvent(tokens: Long): Double = OVERHEAD_MILLISECONDS + tokens / tokensPerMillisecond

    /** Returns the expected milliseconds to read [tokens]. */
    public fun millisecondsToRead(tokens: Long): Double = tokens / tokensPerMillisecond

    /** Returns the fraction of an engine's time spent on reading [tokensPerSecond]. */
    public fun busyFraction(tokensPerSecond: Double): Double =
        tokensPerSecond / (tokensPerMillisecond * MILLISECONDS_PER_SECOND)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val MIN_SAMPLE_TOKENS = 3_000L
        const val OVERHEAD_MILLISECONDS = 60L
        const val SMOOTHING_FACTOR = 0.03
        const val MIN_TOKENS_PER_MILLISECOND = 8.0
        const val MAX_TOKENS_PER_MILLISECOND = 200.0

        fun bounded(speed: Double) = speed.coerceIn(MIN_TOKENS_PER_MILLISECOND, MAX_TOKENS_PER_MILLISECOND)
    }
}
