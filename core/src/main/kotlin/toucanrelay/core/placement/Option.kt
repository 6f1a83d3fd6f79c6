package toucanrelay.core.placement

/** Prompt tokens of [prompt] that [candidate] would have to read, at least one. */
internal fun unreadTokens(prompt: PromptProfile, candidate: Candidate): Long =
    maxOf(1L, prompt.promptTokens.toLong() - candidate.residentTokens)

/**
 * A model call at one candidate, and what that costs.
 *
 * @param leastUnreadTokens what the candidate that keeps most of the prompt would have to read.
 * @param rank the candidate's place in the order of the prompt's subject.
 */
internal class Option(
    private val prompt: PromptProfile,
    private val candidate: Candidate,
    private val speed: EngineSpeed,
    leastUnreadTokens: Long,
    private val rank: Int,
) {
    private val unread = unreadTokens(prompt, candidate)
    private val expectedMilliseconds = speed.millisecondsToFirstEvent(candidate.load.unreadTokens + unread)
    private val readAgainMilliseconds = speed.millisecondsToRead(unread - leastUnreadTokens)

    val placement: Placement
        get() = Placement(candidate.target, unread, expectedMilliseconds)

    /** The cost in milliseconds that this request or others will wait, weighted. */
    val cost: Double
        get() =
            expectedMilliseconds +
                readAgainMilliseconds * WEIGHT_OF_READING_AGAIN +
                delayOfOthers() * WEIGHT_OF_OTHERS +
                delayOfGenerating() * WEIGHT_OF_GENERATING +
                candidate.distance.costMilliseconds +
                candidate.failureRate * PlacementPolicy.FAILURE_COST_MILLISECONDS +
                rank * RANK_COST_MILLISECONDS

    /** Whether the first event may come within [allowedMilliseconds], or the queue before a long prompt is short. */
    fun beginsWithin(allowedMilliseconds: Double): Boolean {
        val queueMilliseconds = speed.millisecondsToRead(candidate.load.unreadTokens) + readAgainMilliseconds
        val isShortQueue = queueMilliseconds <= allowedMilliseconds * SHORT_QUEUE_PART
        return isShortQueue || expectedMilliseconds + readAgainMilliseconds <= allowedMilliseconds
    }

    /** Each running request waits while the prompt is read. */
    private fun delayOfOthers() = speed.millisecondsToRead(unread) * candidate.load.requests

    /** Each generated token waits for the prompt chunk that is read before it, the more often the busier the engine. */
    private fun delayOfGenerating(): Double =
        prompt.expectedOutputTokens * CHUNK_MILLISECONDS * speed.busyPart(candidate.readTokensPerSecond)

    private companion object {
        const val WEIGHT_OF_READING_AGAIN = 1.0
        const val WEIGHT_OF_OTHERS = 0.15
        const val WEIGHT_OF_GENERATING = 0.2
        const val RANK_COST_MILLISECONDS = 20.0
        const val SHORT_QUEUE_PART = 0.35
        const val CHUNK_MILLISECONDS = 40.0
    }
}
