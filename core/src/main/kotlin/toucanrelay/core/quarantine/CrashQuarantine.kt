package toucanrelay.core.quarantine

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock

/**
 * Collects the evidence of the whole fleet on prompt parts and requests that crash targets.
 *
 * Each member records its own observations and shares all that it knows, so evidence outlives the member that saw the
 * crash and reaches members that start later.
 *
 * @param onChange called with a suspect and its new condition when the condition changes.
 */
public class CrashQuarantine(
    private val clock: Clock,
    private val onChange: (suspect: Suspect, condition: SuspectCondition) -> Unit = { _, _ -> },
) {
    private class Case(
        var evidence: CrashEvidence,
    ) {
        var condition = SuspectCondition.SOUND

        /** When this member last saw a crash itself. */
        var ownCrashAtMilliseconds = Long.MIN_VALUE / 2

        /** Until when the evidence is shared although it refutes the suspicion, for members that do not know it. */
        var refutationSharedUntilMilliseconds = Long.MIN_VALUE
    }

    private val cases = LinkedHashMap<Suspect, Case>()
    private val answeredAtMilliseconds = LinkedHashMap<Suspect, Long>(INITIAL_ANSWERS, LOAD_FACTOR, true)

    /** Whether there is any evidence; without it no suspect need be worked out. */
    public val hasEvidence: Boolean
        get() = cases.isNotEmpty()

    /** Records that [run] crashed while it was processing requests of [suspects]. */
    public fun recordCrash(run: TargetRun, suspects: Collection<Suspect>) {
        val now = clock.nowMilliseconds()
        val crash = CrashEvidence(persistentMapOf(run to now), null)
        suspects.forEach {
            merge(it, crash)
            cases[it]?.ownCrashAtMilliseconds = now
        }
    }

    /** Records that a target wrote a complete answer to a request of [suspects]. */
    public fun recordAnswer(suspects: Collection<Suspect>) {
        val now = clock.nowMilliseconds()
        suspects.forEach { suspect ->
            rememberAnswer(suspect, now)
            if (suspect in cases) merge(suspect, CrashEvidence(persistentMapOf(), now))
        }
    }

    /** Adds [reported] evidence on [suspect], which another member shared. */
    public fun merge(suspect: Suspect, reported: CrashEvidence) {
        val now = clock.nowMilliseconds()
        val known = cases[suspect]?.evidence ?: CrashEvidence(persistentMapOf(), answeredAtMilliseconds[suspect])
        val merged = known.merge(reported)
        reported.answeredAtMilliseconds?.let { rememberAnswer(suspect, it) }
        if (merged.crashes.isEmpty()) return
        val case = cases.getOrPut(suspect) { Case(merged) }
        case.evidence = merged
        if (reported.unrefutedCrashes.isNotEmpty() && merged.unrefutedCrashes.isEmpty()) {
            case.refutationSharedUntilMilliseconds = now + REFUTATION_SHARED_MILLISECONDS
        }
        update(suspect, case, now)
        if (cases.size > MAX_CASES) forgetLeast()
    }

    /** Declares [suspect] sound, as an operator may. */
    public fun release(suspect: Suspect) {
        recordAnswer(listOf(suspect))
    }

    /** Returns the worst condition of [suspects]. */
    public fun worstCondition(suspects: Collection<Suspect>): SuspectCondition =
        suspects.maxOfOrNull { conditionOf(it) } ?: SuspectCondition.SOUND

    /** Returns the first of [suspects] that is quarantined, or null. */
    public fun quarantined(suspects: Collection<Suspect>): Suspect? =
        suspects.firstOrNull { conditionOf(it) == SuspectCondition.QUARANTINED }

    /** Returns the addresses at which targets crashed on any of [suspects], unless answers refute that they caused it. */
    public fun crashAddresses(suspects: Collection<Suspect>): Set<TargetAddress> =
        suspects
            .filter { conditionOf(it) != SuspectCondition.SOUND }
            .flatMapTo(HashSet()) { suspect -> evidenceOn(suspect).unrefutedCrashes.keys.map { it.address } }

    /** Returns the evidence on [suspect]. */
    public fun evidenceOn(suspect: Suspect): CrashEvidence = cases[suspect]?.evidence ?: CrashEvidence.NONE

    /** Returns the number of suspects in each condition but [SuspectCondition.SOUND]. */
    public fun counts(): Map<SuspectCondition, Int> {
        val now = clock.nowMilliseconds()
        return cases.values
            .map { QuarantinePolicy.condition(it.evidence, now) }
            .filter { it != SuspectCondition.SOUND }
            .groupingBy { it }
            .eachCount()
    }

    /**
     * Returns the evidence to share with the other members.
     *
     * It contains the strongest suspicions and the newest refutations, at most [limit] together and half of it each, so
     * that neither delays the other. In addition each member shares the new crashes that it saw itself: whatever was at the
     * target is a suspect then, and only the evidence of all members tells the cause from the others.
     */
    public fun evidenceToShare(limit: Int): Map<Suspect, CrashEvidence> {
        if (cases.isEmpty()) return emptyMap()
        val now = clock.nowMilliseconds()
        forgetExpired(now)
        val (suspected, refuted) =
            cases.entries.partition {
                it.value.evidence.unrefutedCrashes
                    .isNotEmpty()
            }
        val suspicions = suspected.sortedWith(STRONGEST_FIRST)
        val shared =
            suspicions.take(limit / 2) + suspicions.drop(limit / 2).filter { isNew(it.value, now) }.take(MAX_NEW)
        val refutations = refuted.sortedByDescending { it.value.refutationSharedUntilMilliseconds }.take(limit / 2)
        return (shared + refutations).associate { (suspect, case) -> suspect to sharedEvidence(case.evidence) }
    }

    private fun isNew(case: Case, now: Long): Boolean = now - case.ownCrashAtMilliseconds < NEW_CRASH_MILLISECONDS

    private fun rememberAnswer(suspect: Suspect, at: Long) {
        val answers = answeredAtMilliseconds
        answers.merge(suspect, at, ::maxOf)
        if (answers.size > MAX_ANSWERS) answers.remove(answers.keys.first())
    }

    private fun conditionOf(suspect: Suspect): SuspectCondition {
        val case = cases[suspect] ?: return SuspectCondition.SOUND
        return update(suspect, case, clock.nowMilliseconds())
    }

    private fun update(suspect: Suspect, case: Case, now: Long): SuspectCondition {
        val condition = QuarantinePolicy.condition(case.evidence, now)
        if (condition != case.condition) {
            case.condition = condition
            onChange(suspect, condition)
        }
        return condition
    }

    /** Returns [evidence] without all but the newest unrefuted crashes, which suffice to judge the suspect. */
    private fun sharedEvidence(evidence: CrashEvidence): CrashEvidence {
        val newest =
            evidence.crashes.entries
                .sortedByDescending { it.value }
                .take(MAX_SHARED_CRASHES)
        return evidence.copy(crashes = newest.associate { it.toPair() }.toImmutableMap())
    }

    private fun forgetExpired(now: Long) {
        cases.entries.removeIf { (suspect, case) ->
            val isForgotten = isExpired(case, now)
            if (isForgotten) update(suspect, case, now)
            isForgotten
        }
    }

    private fun isExpired(case: Case, now: Long): Boolean {
        val crashes = case.evidence.unrefutedCrashes
        val latest = crashes.values.maxOrNull() ?: return now >= case.refutationSharedUntilMilliseconds
        return now - latest >= QuarantinePolicy.retentionMilliseconds(crashes.size)
    }

    private fun forgetLeast() {
        val least = cases.entries.maxWith(STRONGEST_FIRST)
        cases.remove(least.key)
    }

    private companion object {
        const val MAX_CASES = 1_000
        const val MAX_NEW = 64
        const val NEW_CRASH_MILLISECONDS = 3_000L
        const val MAX_ANSWERS = 20_000
        const val INITIAL_ANSWERS = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_SHARED_CRASHES = 6

        /** Several periods in which members share their evidence. */
        const val REFUTATION_SHARED_MILLISECONDS = 5_000L

        val STRONGEST_FIRST: Comparator<Map.Entry<Suspect, Case>> =
            compareByDescending<Map.Entry<Suspect, Case>> { it.value.evidence.unrefutedCrashes.size }
                .thenByDescending {
                    it.value.evidence.crashes.values
                        .max()
                }
    }
}
