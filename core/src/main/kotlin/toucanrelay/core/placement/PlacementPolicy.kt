package toucanrelay.core.placement

import toucanrelay.core.identity.StableHash
import toucanrelay.core.identity.TargetId

/** How far a target is from this instance. */
public enum class Distance(
    internal val costMilliseconds: Double,
) {
    SAME_FAILURE_DOMAIN(0.0),
    SAME_REGION(3.0),
    OTHER_REGION(60.0),
}

/**
 * A target that may take the request.
 *
 * @property load what is at the target, as known over the fleet.
 * @property residentTokens prompt tokens of the request that the engine probably keeps.
 * @property failureRate part of the recent requests that the target failed.
 * @property slots requests that the target runs at once.
 * @property memoryTokens memory of a model engine; null for a plain service.
 */
public data class Candidate(
    public val target: TargetId,
    public val distance: Distance,
    public val load: TargetLoad,
    public val residentTokens: Int,
    public val failureRate: Double,
    public val slots: Int,
    public val memoryTokens: Long?,
)

/**
 * A candidate that was chosen.
 *
 * @property unreadTokens prompt tokens of the request that the engine will read.
 * @property expectedMilliseconds expected time to the first byte of the answer.
 */
public data class Placement(
    public val target: TargetId,
    public val unreadTokens: Long,
    public val expectedMilliseconds: Double,
)

/**
 * Chooses the target of a request.
 *
 * A model call goes where its first event is expected soonest, where reading prompt parts again counts against a
 * target because it delays everyone there. A rendezvous hash of the prompt's subject breaks ties, so that all
 * instances send a subject to the same few engines without any exchange.
 */
public object PlacementPolicy {
    /**
     * Chooses among [candidates] for a model call; null when none is expected to begin within [allowedMilliseconds].
     *
     * A request whose own prompt takes most of that time is not shut out: it may always follow a short queue.
     */
    public fun placeModelCall(
        prompt: PromptProfile,
        candidates: List<Candidate>,
        speed: EngineSpeed,
        allowedMilliseconds: Double,
    ): Placement? {
        val ranks = ranksBySubject(prompt.subject, candidates)
        return candidates
            .filter { hasRoom(prompt, it) }
            .map { candidate -> candidate to placementOf(prompt, candidate, speed) }
            .filter { (candidate, placement) -> beginsInTime(candidate, placement, speed, allowedMilliseconds) }
            .minByOrNull { (candidate, placement) -> costOf(candidate, placement, speed, ranks) }
            ?.second
    }

    /** Chooses among [candidates] for a call of a plain service; null when all of them have [queueFactor] x slots. */
    public fun placeServiceCall(candidates: List<Candidate>, queueFactor: Double): Placement? =
        candidates
            .filter { it.load.requests < it.slots * queueFactor }
            .minByOrNull { serviceCost(it) }
            ?.let { Placement(it.target, 0, 0.0) }

    private fun beginsInTime(
        candidate: Candidate,
        placement: Placement,
        speed: EngineSpeed,
        allowedMilliseconds: Double,
    ): Boolean {
        val queueMilliseconds = speed.millisecondsToRead(candidate.load.unreadTokens)
        val isShortQueue = queueMilliseconds <= allowedMilliseconds * SHORT_QUEUE_PART
        return isShortQueue || placement.expectedMilliseconds <= allowedMilliseconds
    }

    private fun hasRoom(prompt: PromptProfile, candidate: Candidate): Boolean {
        val memory = candidate.memoryTokens ?: return true
        val needed = prompt.memoryTokens - candidate.residentTokens
        val fits = candidate.load.memoryTokens + needed <= memory * USABLE_MEMORY
        return candidate.load.requests < candidate.slots && (fits || candidate.load.requests == 0)
    }

    private fun placementOf(prompt: PromptProfile, candidate: Candidate, speed: EngineSpeed): Placement {
        val unread = maxOf(1L, prompt.promptTokens.toLong() - candidate.residentTokens)
        val expected = speed.millisecondsToFirstEvent(candidate.load.unreadTokens + unread)
        return Placement(candidate.target, unread, expected)
    }

    private fun costOf(
        candidate: Candidate,
        placement: Placement,
        speed: EngineSpeed,
        ranks: Map<TargetId, Int>,
    ): Double =
        placement.expectedMilliseconds +
            speed.millisecondsToRead(placement.unreadTokens) * WEIGHT_OF_READING +
            candidate.load.requests * MILLISECONDS_PER_RUNNING_REQUEST +
            candidate.distance.costMilliseconds +
            candidate.failureRate * FAILURE_COST_MILLISECONDS +
            ranks.getValue(candidate.target) * RANK_COST_MILLISECONDS

    private fun serviceCost(candidate: Candidate): Double =
        candidate.load.requests.toDouble() / candidate.slots * SERVICE_QUEUE_COST_MILLISECONDS +
            candidate.distance.costMilliseconds +
            candidate.failureRate * FAILURE_COST_MILLISECONDS

    private fun ranksBySubject(subject: String?, candidates: List<Candidate>): Map<TargetId, Int> {
        val hash = StableHash.of(subject.orEmpty())
        return candidates
            .sortedByDescending { StableHash.toUnit(StableHash.combine(hash, StableHash.of(it.target.value))) }
            .withIndex()
            .associate { (rank, candidate) -> candidate.target to minOf(rank, LAST_RANK) }
    }

    private const val SHORT_QUEUE_PART = 0.35
    private const val USABLE_MEMORY = 0.9
    private const val WEIGHT_OF_READING = 1.0
    private const val MILLISECONDS_PER_RUNNING_REQUEST = 1.0
    private const val FAILURE_COST_MILLISECONDS = 800.0
    private const val RANK_COST_MILLISECONDS = 20.0
    private const val LAST_RANK = 3
    private const val SERVICE_QUEUE_COST_MILLISECONDS = 100.0
}
