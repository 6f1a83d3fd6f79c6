package toucanrelay.gateway.member

import kotlinx.collections.immutable.toImmutableMap
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.quarantine.PartEvidence
import toucanrelay.core.quarantine.PromptPartQuarantine
import toucanrelay.core.quarantine.TargetRun
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.Clock

/** Converts evidence on prompt parts between the quarantine and digests, which carry ages instead of clock readings. */
internal class PartEvidenceExchange(
    private val quarantine: PromptPartQuarantine,
    private val clock: Clock,
) {
    /** Returns the evidence for the next digest. */
    fun shared(): List<PartEvidenceEntry> {
        val now = clock.nowMilliseconds()
        return quarantine.evidenceToShare(MAX_PARTS_PER_DIGEST).map { (part, evidence) ->
            PartEvidenceEntry(
                part,
                evidence.crashes.map { (run, at) -> crashEntry(run, now - at) },
                evidence.answeredAtMilliseconds?.let { now - it },
            )
        }
    }

    /** Records the evidence of another member's digest. */
    fun receive(entries: List<PartEvidenceEntry>) {
        val now = clock.nowMilliseconds()
        entries.forEach { entry ->
            val crashes = entry.crashes.associate { runOf(it) to now - it.agoMilliseconds }
            val answeredAt = entry.answeredAgoMilliseconds?.let { now - it }
            quarantine.merge(entry.part, PartEvidence(crashes.toImmutableMap(), answeredAt))
        }
    }

    private fun crashEntry(run: TargetRun, ago: Long) =
        CrashEntry(run.target.value, run.incarnation.value, run.address.host, run.address.port, ago)

    private fun runOf(entry: CrashEntry) =
        TargetRun(TargetId(entry.target), Incarnation(entry.incarnation), TargetAddress(entry.host, entry.port))

    private companion object {
        /** Keeps a digest within one datagram. */
        const val MAX_PARTS_PER_DIGEST = 16
    }
}
