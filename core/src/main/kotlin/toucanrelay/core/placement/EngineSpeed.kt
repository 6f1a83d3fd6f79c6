package toucanrelay.core.placement

/**
 * Learns how fast the engines of a service read prompts, from the time to first events.
 *
 * @param initialTokensPerMillisecond assumed before anything was measured.
 */
public class EngineSpeed(
    initialTokensPerMillisecond: Double,
) {
    /** Prompt tokens that one engine reads in a millisecond while it generates for others. */
    public var tokensPerMillisecond: Double = bounded(initialTokensPerMillisecond)
        private set

    /** Notes that a request with [tokensAhead] unread tokens before its first event waited [milliseconds] for it. */
    public fun observe(tokensAhead: Long, milliseconds: Long) {
        if (tokensAhead < LEAST_TOKENS_TO_LEARN_FROM || milliseconds <= FIXED_MILLISECONDS) return
        val sample = bounded(tokensAhead.toDouble() / (milliseconds - FIXED_MILLISECONDS))
        tokensPerMillisecond += (sample - tokensPerMillisecond) * WEIGHT_OF_NEWEST
    }

    /** Expected time to the first event of a request that has [tokens] unread tokens before it, its own among them. */
    public fun millisecondsToFirstEvent(tokens: Long): Double = FIXED_MILLISECONDS + tokens / tokensPerMillisecond

    /** Time that reading [tokens] takes. */
    public fun millisecondsToRead(tokens: Long): Double = tokens / tokensPerMillisecond

    /** Part of an engine's time that reading [tokensPerSecond] takes. */
    public fun busyPart(tokensPerSecond: Double): Double =
        tokensPerSecond / (tokensPerMillisecond * MILLISECONDS_IN_A_SECOND)

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000.0
        const val LEAST_TOKENS_TO_LEARN_FROM = 3_000L
        const val FIXED_MILLISECONDS = 60L
        const val WEIGHT_OF_NEWEST = 0.03
        const val SLOWEST = 8.0
        const val FASTEST = 200.0

        fun bounded(speed: Double) = speed.coerceIn(SLOWEST, FASTEST)
    }
}
