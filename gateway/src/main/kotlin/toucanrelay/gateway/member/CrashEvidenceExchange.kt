package toucanrelay.gateway.member

import kotlinx.collections.immutable.toImmutableMap
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.quarantine.CrashEvidence
import toucanrelay.core.quarantine.CrashQuarantine
import toucanrelay.core.quarantine.Suspect
import toucanrelay.core.quarantine.TargetRun
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock

/** Converts evidence on suspects between the quarantine and digests, which carry ages instead of clock readings. */
internal class CrashEvidenceExchange(
    private val quarantine: CrashQuarantine,
    private val clock: Clock,
) {
    /** Returns the evidence for the next digest. */
    fun shared(): List<CrashEvidenceEntry> {
        val now = clock.nowMilliseconds()
        return quarantine.evidenceToShare(MAX_SUSPECTS_PER_DIGEST).map { (suspect, evidence) ->
            CrashEvidenceEntry(
                suspect.id,
                evidence.crashes.map { (run, at) -> crashEntry(run, now - at) },
                evidence.answeredAtMilliseconds?.let { now - it },
                isRequest = suspect is Suspect.Request,
            )
        }
    }

    /** Records the evidence of another member's digest. */
    fun receive(entries: List<CrashEvidenceEntry>) {
        val now = clock.nowMilliseconds()
        entries.forEach { entry ->
            val crashes = entry.crashes.associate { runOf(it) to now - it.agoMilliseconds }
            val answeredAt = entry.answeredAgoMilliseconds?.let { now - it }
            quarantine.merge(suspectOf(entry), CrashEvidence(crashes.toImmutableMap(), answeredAt))
        }
    }

    private fun suspectOf(entry: CrashEvidenceEntry): Suspect =
        if (entry.isRequest) Suspect.Request(entry.suspect) else Suspect.PromptPart(entry.suspect)

    private fun crashEntry(run: TargetRun, ago: Long) =
        CrashEntry(run.target.value, run.incarnation.value, run.address.host, run.address.port, ago)

    private fun runOf(entry: CrashEntry) =
        TargetRun(TargetId(entry.target), Incarnation(entry.incarnation), TargetAddress(entry.host, entry.port))

    private companion object {
        const val MAX_SUSPECTS_PER_DIGEST = 16
    }
}
