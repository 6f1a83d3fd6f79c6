package toucanrelay.core.quarantine

/** Whether requests with a suspect may be sent to targets. */
public enum class SuspectCondition {
    /** Nothing speaks against it. */
    SOUND,

    /** A target crashed on it; a request that saw this is not sent to a second target. */
    SUSPECTED,

    /** Several targets crashed on it and none answered; no request with it is sent to a target. */
    QUARANTINED,
}

/**
 * Judges suspects by the crashes of targets that were processing them.
 *
 * Many requests are at a target when it crashes, so a single crash says little. What causes crashes never gets an
 * answer, while the sound requests at the same targets do, before or after.
 */
public object QuarantinePolicy {
    /** Returns the condition of a suspect with [evidence] at [nowMilliseconds]. */
    public fun condition(evidence: CrashEvidence, nowMilliseconds: Long): SuspectCondition {
        val crashes = evidence.unrefutedCrashes
        val latest = crashes.values.maxOrNull() ?: return SuspectCondition.SOUND
        val since = nowMilliseconds - latest
        return when {
            isCause(crashes) && since < quarantineMilliseconds(crashes.size) -> SuspectCondition.QUARANTINED
            since < retentionMilliseconds(crashes.size) -> SuspectCondition.SUSPECTED
            else -> SuspectCondition.SOUND
        }
    }

    /** Returns how long a suspect with [crashes] is remembered after the latest of them. */
    public fun retentionMilliseconds(crashes: Int): Long =
        if (crashes < CRASHES_TO_QUARANTINE) SUSPICION_MILLISECONDS else 2 * quarantineMilliseconds(crashes)

    /** More crashes are needed at one address alone, since they may be the fault of the target there. */
    private fun isCause(crashes: Map<TargetRun, Long>): Boolean {
        val addresses = crashes.keys.distinctBy { it.address }.size
        return crashes.size >= if (addresses > 1) CRASHES_TO_QUARANTINE else CRASHES_AT_ONE_ADDRESS
    }

    /** Doubles with each crash, since one crash after the end of a quarantine starts the next one. */
    private fun quarantineMilliseconds(crashes: Int): Long {
        val doublings = (crashes - CRASHES_TO_QUARANTINE).coerceIn(0, MAX_DOUBLINGS)
        return FIRST_QUARANTINE_MILLISECONDS shl doublings
    }

    private const val CRASHES_TO_QUARANTINE = 3
    private const val CRASHES_AT_ONE_ADDRESS = 5
    private const val SUSPICION_MILLISECONDS = 600_000L
    private const val FIRST_QUARANTINE_MILLISECONDS = 600_000L
    private const val MAX_DOUBLINGS = 4
}
