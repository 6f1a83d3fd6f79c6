package toucanrelay.core.placement

import toucanrelay.core.identity.StableHash
import toucanrelay.core.identity.TargetId

/** Network distance between this instance and a target. */
public enum class Distance(
    internal val costMilliseconds: Double,
) {
    SAME_FAILURE_DOMAIN(0.0),
    SAME_REGION(3.0),
    OTHER_REGION(60.0),
}

/**
 * A target that the request can be placed on.
 *
 * @property load requests of the whole fleet at the target, as far as this instance knows.
 * @property readTokensPerSecond prompt tokens per second that the fleet sends to the engine.
 * @property residentTokens prompt tokens of the request that the engine has probably cached.
 * @property failureRate fraction of recent requests that failed at the target.
 * @property slots maximum number of requests that the target runs concurrently.
 * @property memoryTokens memory of a model engine, in tokens; null for a plain service.
 * @property hash stable hash of [target].
 * @property requestIntervalMilliseconds mean time between the requests that the target takes; zero if their rate is not
 *   limited.
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
    public val requestIntervalMilliseconds: Double = 0.0,
)

/**
 * The chosen target of a request.
 *
 * @property unreadTokens prompt tokens of the request that the engine has to read.
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
 * A model call goes to the target with the earliest expected first event. Four costs count against a target: reading
 * shared prompt parts that another engine has cached, reading a long prompt where it delays many requests that generate
 * output, generating long output where many prompts being read delay it, and sending a short prompt where the rate of
 * requests is limited. As a result, engines specialise in reading
 * or in generating. A rendezvous hash of the prompt's affinity key breaks ties, so that all instances send prompts with
 * the same key to the same few engines without coordination.
 */
public object PlacementPolicy {
    /**
     * Chooses one of [candidates] for a model call; null when none can start it within [allowedMilliseconds].
     *
     * A prompt that takes most of that time to read is still placed where the queue is short.
     */
    public fun placeModelCall(
        prompt: PromptProfile,
        candidates: List<Candidate>,
        speed: EngineSpeed,
        allowedMilliseconds: Double,
    ): Placement? {
        val ranks = affinityRanks(prompt.affinityKey, candidates)
        val minUnread = candidates.minOfOrNull { unreadTokens(prompt, it) } ?: return null
        return candidates
            .mapIndexedNotNull { i, candidate ->
                if (hasRoom(prompt, candidate)) PlacementOption(prompt, candidate, speed, minUnread, ranks[i]) else null
            }.filter { it.startsWithin(allowedMilliseconds) }
            .minByOrNull { it.cost }
            ?.placement
    }

    /** Chooses one of [candidates] for a service call; null when each has [queueFactor] or more requests per slot. */
    public fun placeServiceCall(candidates: List<Candidate>, queueFactor: Double): Placement? =
        candidates
            .filter { it.load.requests < it.slots * queueFactor }
            .minByOrNull { serviceCost(it) }
            ?.let { Placement(it.target, 0, 0.0) }

    /** Returns whether [candidate] has a free slot and enough memory for [prompt]. */
    public fun hasRoom(prompt: PromptProfile, candidate: Candidate): Boolean {
        val memory = candidate.memoryTokens ?: return true
        val needed = prompt.memoryTokens - candidate.residentTokens
        val fits = candidate.load.memoryTokens + needed <= memory * USABLE_MEMORY_FRACTION
        return candidate.load.requests < candidate.slots && (fits || candidate.load.requests == 0)
    }

    private fun serviceCost(candidate: Candidate): Double =
        candidate.load.requests.toDouble() / candidate.slots * SERVICE_QUEUE_COST_MILLISECONDS +
            candidate.distance.costMilliseconds +
            candidate.failureRate * FAILURE_COST_MILLISECONDS

    /** Returns the rank of each candidate for [affinityKey]; all candidates after the first few share the last rank. */
    private fun affinityRanks(affinityKey: String?, candidates: List<Candidate>): IntArray {
        val hash = StableHash.of(affinityKey.orEmpty())
        val weights = DoubleArray(candidates.size) { StableHash.toUnit(StableHash.combine(hash, candidates[it].hash)) }
        val ranks = IntArray(candidates.size) { LAST_RANK }
        repeat(minOf(LAST_RANK, candidates.size)) { rank ->
            val heaviest = weights.indices.maxBy { weights[it] }
            ranks[heaviest] = rank
            weights[heaviest] = -1.0
        }
        return ranks
    }

    private const val USABLE_MEMORY_FRACTION = 0.9
    internal const val FAILURE_COST_MILLISECONDS = 800.0
    private const val LAST_RANK = 3
    private const val SERVICE_QUEUE_COST_MILLISECONDS = 100.0
}
