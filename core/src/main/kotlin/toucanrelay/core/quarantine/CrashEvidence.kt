package toucanrelay.core.quarantine

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap

/**
 * What is known of a suspect: the target runs that crashed on it, and the last answer that was written on it.
 *
 * Evidence of several members is merged in any order and any number of times with the same result.
 *
 * @property crashes clock reading of each crash of a target that was processing a request with the suspect.
 * @property answeredAtMilliseconds clock reading when a target last answered a request with it; null if it never did.
 */
public data class CrashEvidence(
    public val crashes: ImmutableMap<TargetRun, Long>,
    public val answeredAtMilliseconds: Long?,
) {
    /** Returns the crashes that no answer refutes: the last answer was written well before them. */
    public val unrefutedCrashes: Map<TargetRun, Long>
        get() {
            val answeredAt = answeredAtMilliseconds ?: return crashes
            return crashes.filterValues { it > answeredAt + ANSWER_VALIDITY_MILLISECONDS }
        }

    /** Returns the evidence of both; of a crash that both contain, the earlier clock reading. */
    public fun merge(other: CrashEvidence): CrashEvidence {
        val merged = HashMap(crashes)
        other.crashes.forEach { (run, at) -> merged.merge(run, at, ::minOf) }
        val answers = listOfNotNull(answeredAtMilliseconds, other.answeredAtMilliseconds)
        return CrashEvidence(merged.toImmutableMap(), answers.maxOrNull())
    }

    public companion object {
        /** No evidence. */
        public val NONE: CrashEvidence = CrashEvidence(persistentMapOf(), null)

        /** An answer also refutes crashes up to this long after it, since members learn of either at different times. */
        public const val ANSWER_VALIDITY_MILLISECONDS: Long = 60_000L
    }
}
