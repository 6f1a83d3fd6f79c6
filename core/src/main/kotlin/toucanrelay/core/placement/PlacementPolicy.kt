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
 * @property readTokensPerSecond prompt tokens that the fleet sends to the engine a second.
 * @property residentTokens prompt tokens of the request that the engine probably keeps.
 * @property failureRate part of the recent requests that the target failed.
 * @property slots requests that the target runs at once.
 * @property memoryTokens memory of a model engine; null for a plain service.
 * @property hash stable hash of [target].
 */
public data class Candidate(
    public val target: TargetId,
    public val distance: Distance,
    public val load: TargetLoad,
    public val readTokensPerSecond: Double,
    public val residentTokens: Int,
    public val failureRate: Double,
    public val slots: Int,
    public val memoryTokens: Long?,
    public val hash: Long = StableHash.of(target.value),
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
 * A model call goes where its first event is expected soonest, and three things count against a target: reading shared
 * prompt parts that another engine keeps; reading a long prompt where many requests generate, which it delays; and
 * generating long output where many prompts are read, which delays it. So engines part by themselves into those that
 * mostly read and those that mostly generate. A rendezvous hash of the prompt's subject breaks ties, so that all
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
        val leastUnread = candidates.minOfOrNull { unreadTokens(prompt, it) } ?: return null
        return candidates
            .mapIndexedNotNull { index, candidate ->
                if (hasRoom(prompt, candidate)) Option(prompt, candidate, speed, leastUnread, ranks[index]) else null
            }.filter { it.beginsWithin(allowedMilliseconds) }
            .minByOrNull { it.cost }
            ?.placement
    }

    /** Chooses among [candidates] for a call of a plain service; null when all of them have [queueFactor] x slots. */
    public fun placeServiceCall(candidates: List<Candidate>, queueFactor: Double): Placement? =
        candidates
            .filter { it.load.requests < it.slots * queueFactor }
            .minByOrNull { serviceCost(it) }
            ?.let { Placement(it.target, 0, 0.0) }

    /** Whether [candidate] has a slot and memory for [prompt]. */
    public fun hasRoom(prompt: PromptProfile, candidate: Candidate): Boolean {
        val memory = candidate.memoryTokens ?: return true
        val needed = prompt.memoryTokens - candidate.residentTokens
        val fits = candidate.load.memoryTokens + needed <= memory * USABLE_MEMORY
        return candidate.load.requests < candidate.slots && (fits || candidate.load.requests == 0)
    }

    private fun serviceCost(candidate: Candidate): Double =
        candidate.load.requests.toDouble() / candidate.slots * SERVICE_QUEUE_COST_MILLISECONDS +
            candidate.distance.costMilliseconds +
            candidate.failureRate * FAILURE_COST_MILLISECONDS

    /** The place of each candidate in the order of [subject]; only the first few places differ. */
    private fun ranksBySubject(subject: String?, candidates: List<Candidate>): IntArray {
        val hash = StableHash.of(subject.orEmpty())
        val weights = DoubleArray(candidates.size) { StableHash.toUnit(StableHash.combine(hash, candidates[it].hash)) }
        val ranks = IntArray(candidates.size) { LAST_RANK }
        repeat(minOf(LAST_RANK, candidates.size)) { rank ->
            val heaviest = weights.indices.maxBy { weights[it] }
            ranks[heaviest] = rank
            weights[heaviest] = -1.0
        }
        return ranks
    }

    private const val USABLE_MEMORY = 0.9
    internal const val FAILURE_COST_MILLISECONDS = 800.0
    private const val LAST_RANK = 3
    private const val SERVICE_QUEUE_COST_MILLISECONDS = 100.0
}
