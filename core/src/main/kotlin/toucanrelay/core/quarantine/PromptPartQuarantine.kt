package toucanrelay.core.quarantine

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import toucanrelay.core.time.Clock

/**
 * Collects the evidence of the whole fleet on prompt parts that crash targets.
 *
 * Each member records its own observations and shares all that it knows, so evidence outlives the member that saw the
 * crash and reaches members that start later.
 *
 * @param onChange called with a part and its new condition when the condition changes.
 */
public class PromptPartQuarantine(
    private val clock: Clock,
    private val onChange: (part: String, condition: PartCondition) -> Unit = { _, _ -> },
) {
    private class Suspect(
        var evidence: PartEvidence,
    ) {
        var condition = PartCondition.SOUND

        /** Until when the evidence is shared although it refutes the suspicion, for members that do not know it. */
        var refutationSharedUntilMilliseconds = Long.MIN_VALUE
    }

    private val suspects = LinkedHashMap<String, Suspect>()
    private val answeredAtMilliseconds = LinkedHashMap<String, Long>(INITIAL_ANSWERS, LOAD_FACTOR, true)

    /** Records that [run] crashed while it had written no answer yet on requests with [parts]. */
    public fun recordCrash(run: TargetRun, parts: Collection<String>) {
        val crash = PartEvidence(persistentMapOf(run to clock.nowMilliseconds()), null)
        parts.forEach { merge(it, crash) }
    }

    /** Records that a target wrote an answer to a request with [parts]. */
    public fun recordAnswer(parts: Collection<String>) {
        val now = clock.nowMilliseconds()
        parts.forEach { part ->
            rememberAnswer(part, now)
            if (part in suspects) merge(part, PartEvidence(persistentMapOf(), now))
        }
    }

    /** Adds [reported] evidence on [part], which another member shared. */
    public fun merge(part: String, reported: PartEvidence) {
        val now = clock.nowMilliseconds()
        val known = suspects[part]?.evidence ?: PartEvidence(persistentMapOf(), answeredAtMilliseconds[part])
        val merged = known.merge(reported)
        reported.answeredAtMilliseconds?.let { rememberAnswer(part, it) }
        if (merged.crashes.isEmpty()) return
        val suspect = suspects.getOrPut(part) { Suspect(merged) }
        suspect.evidence = merged
        if (reported.unrefutedCrashes.isNotEmpty() && merged.unrefutedCrashes.isEmpty()) {
            suspect.refutationSharedUntilMilliseconds = now + REFUTATION_SHARED_MILLISECONDS
        }
        update(part, suspect, now)
        if (suspects.size > MAX_SUSPECTS) forgetLeast()
    }

    /** Declares [part] sound, as an operator may. */
    public fun release(part: String) {
        recordAnswer(listOf(part))
    }

    /** Returns the worst condition of [parts]. */
    public fun worstCondition(parts: Collection<String>): PartCondition =
        parts.maxOfOrNull { conditionOf(it) } ?: PartCondition.SOUND

    /** Returns the first of [parts] that is quarantined, or null. */
    public fun quarantinedPart(parts: Collection<String>): String? =
        if (suspects.isEmpty()) null else parts.firstOrNull { conditionOf(it) == PartCondition.QUARANTINED }

    /** Returns the evidence on [part]. */
    public fun evidenceOn(part: String): PartEvidence = suspects[part]?.evidence ?: PartEvidence.NONE

    /** Returns the number of parts in each condition but [PartCondition.SOUND]. */
    public fun counts(): Map<PartCondition, Int> {
        val now = clock.nowMilliseconds()
        return suspects.values
            .map { QuarantinePolicy.condition(it.evidence, now) }
            .filter { it != PartCondition.SOUND }
            .groupingBy { it }
            .eachCount()
    }

    /**
     * Returns the evidence to share with the other members, at most [limit] parts.
     *
     * Half of the room is for the strongest suspicions and half for refutations, so that neither delays the other.
     */
    public fun evidenceToShare(limit: Int): Map<String, PartEvidence> {
        if (suspects.isEmpty()) return emptyMap()
        val now = clock.nowMilliseconds()
        forgetExpired(now)
        val (suspected, refuted) =
            suspects.entries.partition {
                it.value.evidence.unrefutedCrashes
                    .isNotEmpty()
            }
        val suspicions = suspected.sortedWith(STRONGEST_FIRST).take(limit / 2)
        val refutations = refuted.sortedByDescending { it.value.refutationSharedUntilMilliseconds }.take(limit / 2)
        return (suspicions + refutations).associate { (part, suspect) -> part to sharedEvidence(suspect.evidence) }
    }

    private fun rememberAnswer(part: String, at: Long) {
        val answers = answeredAtMilliseconds
        answers.merge(part, at, ::maxOf)
        if (answers.size > MAX_ANSWERS) answers.remove(answers.keys.first())
    }

    private fun conditionOf(part: String): PartCondition {
        val suspect = suspects[part] ?: return PartCondition.SOUND
        return update(part, suspect, clock.nowMilliseconds())
    }

    private fun update(part: String, suspect: Suspect, now: Long): PartCondition {
        val condition = QuarantinePolicy.condition(suspect.evidence, now)
        if (condition != suspect.condition) {
            suspect.condition = condition
            onChange(part, condition)
        }
        return condition
    }

    /** Returns [evidence] without all but the newest unrefuted crashes, which suffice to judge the part. */
    private fun sharedEvidence(evidence: PartEvidence): PartEvidence {
        val newest =
            evidence.crashes.entries
                .sortedByDescending { it.value }
                .take(MAX_SHARED_CRASHES)
        return evidence.copy(crashes = newest.associate { it.toPair() }.toImmutableMap())
    }

    private fun forgetExpired(now: Long) {
        suspects.entries.removeIf { (part, suspect) ->
            val isForgotten = isExpired(suspect, now)
            if (isForgotten) update(part, suspect, now)
            isForgotten
        }
    }

    private fun isExpired(suspect: Suspect, now: Long): Boolean {
        val crashes = suspect.evidence.unrefutedCrashes
        val latest = crashes.values.maxOrNull() ?: return now >= suspect.refutationSharedUntilMilliseconds
        return now - latest >= QuarantinePolicy.retentionMilliseconds(crashes.size)
    }

    private fun forgetLeast() {
        val least = suspects.entries.minWith(STRONGEST_FIRST.reversed())
        suspects.remove(least.key)
    }

    private companion object {
        const val MAX_SUSPECTS = 512
        const val MAX_ANSWERS = 20_000
        const val INITIAL_ANSWERS = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_SHARED_CRASHES = 6

        /** Several periods in which members share their evidence. */
        const val REFUTATION_SHARED_MILLISECONDS = 5_000L

        val STRONGEST_FIRST: Comparator<Map.Entry<String, Suspect>> =
            compareByDescending<Map.Entry<String, Suspect>> { it.value.evidence.unrefutedCrashes.size }
                .thenByDescending {
                    it.value.evidence.crashes.values
                        .max()
                }
    }
}
