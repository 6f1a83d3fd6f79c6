package toucanrelay.core.placement

/** Tokens of [prompt] that [candidate] would have to read, at least 1. */
internal fun unreadTokens(prompt: PromptProfile, candidate: Candidate): Long =
    maxOf(1L, prompt.promptTokens.toLong() - candidate.residentTokens)

/**
 * The placement of a model call on one candidate, and its cost.
 *
 * @param minUnreadTokens unread tokens at the candidate that has cached most of the prompt.
 * @param rank rank of the candidate for the prompt's affinity key.
 */
internal class PlacementOption(
    private val prompt: PromptProfile,
    private val candidate: Candidate,
    private val speed: EngineSpeed,
    minUnreadTokens: Long,
    private val rank: Int,
) {
    private val unread = unreadTokens(prompt, candidate)
    private val expectedMilliseconds = speed.millisecondsToFirstEvent(candidate.load.unreadTokens + unread)
    private val rereadMilliseconds = speed.millisecondsToRead(unread - minUnreadTokens)

    val placement: Placement
        get() = Placement(candidate.target, unread, expectedMilliseconds)

    /** Weighted sum of the waiting times, in milliseconds, that the placement causes to this and other requests. */
    val cost: Double
        get() =
            expectedMilliseconds +
                rereadMilliseconds * REREAD_WEIGHT +
                delayToOthers() * DELAY_TO_OTHERS_WEIGHT +
                generationDelay() * GENERATION_DELAY_WEIGHT +
                unusedInterval() +
                candidate.distance.costMilliseconds +
                candidate.failureRate * PlacementPolicy.FAILURE_COST_MILLISECONDS +
                rank * RANK_COST_MILLISECONDS

    /**
     * Returns whether the first event is expected within [allowedMilliseconds], or the queue ahead of the prompt is short.
     *
     * An engine that reads nothing accepts a prompt however long the request has waited.
     */
    fun startsWithin(allowedMilliseconds: Double): Boolean {
        val queueMilliseconds = speed.millisecondsToRead(candidate.load.unreadTokens) + rereadMilliseconds
        val isShortQueue = queueMilliseconds <= maxOf(0.0, allowedMilliseconds) * SHORT_QUEUE_FRACTION
        return isShortQueue || expectedMilliseconds + rereadMilliseconds <= allowedMilliseconds
    }

    /** Returns the delay of the running requests, each of which waits while the prompt is read. */
    private fun delayToOthers() = speed.millisecondsToRead(unread) * candidate.load.requests

    /**
     * Returns the delay of the output: each token waits for the prompt chunk read before it, more often on a busier
     * engine.
     */
    private fun generationDelay(): Double =
        prompt.expectedOutputTokens * CHUNK_MILLISECONDS * speed.busyFraction(candidate.readTokensPerSecond)

    /**
     * Returns the part of the interval between two requests of a target with a limited rate in which it reads nothing.
     *
     * Such a target takes long prompts as often as short ones, so short ones cost others their turn.
     */
    private fun unusedInterval(): Double =
        maxOf(0.0, candidate.requestIntervalMilliseconds - speed.millisecondsToRead(unread))

    private companion object {
        const val REREAD_WEIGHT = 1.0
        const val DELAY_TO_OTHERS_WEIGHT = 0.15
        const val GENERATION_DELAY_WEIGHT = 0.2
        const val RANK_COST_MILLISECONDS = 20.0
        const val SHORT_QUEUE_FRACTION = 0.35
        const val CHUNK_MILLISECONDS = 40.0
    }
}
