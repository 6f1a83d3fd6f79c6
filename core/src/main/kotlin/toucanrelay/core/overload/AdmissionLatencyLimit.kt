package toucanrelay.core.overload

/**
 * Limits the expected time to the first event up to which a request is admitted.
 *
 * Organisations below their max-min fair share get a higher limit and may therefore fill the engines further than those
 * above it. This reserves room for them, while organisations above their share can still use spare capacity.
 */
public object AdmissionLatencyLimit {
    /**
     * The highest admissible expected time to the first event, in milliseconds.
     *
     * @param objectiveMilliseconds the route's latency objective.
     * @param servedPerSecond tokens per second that the fleet currently serves to the organisation.
     * @param levelPerSecond max-min fair level of the demands of all organisations, in tokens per second.
     * @param history earlier attempts at the request.
     */
    public fun milliseconds(
        objectiveMilliseconds: Long,
        servedPerSecond: Double,
        levelPerSecond: Double,
        history: RequestHistory,
    ): Double {
        val usedShare = servedPerSecond / levelPerSecond
        val factor =
            when (history) {
                RequestHistory.NEW -> factorFor(usedShare)
                RequestHistory.CALLER_RETRY -> if (usedShare < 1) CALLER_RETRY_FACTOR else factorFor(usedShare)
                RequestHistory.INTERRUPTED -> INTERRUPTED_FACTOR
            }
        return objectiveMilliseconds * factor
    }

    /**
     * The factor for an organisation that uses [usedShare] of its fair share.
     *
     * It keeps falling above the share, so that of two organisations above their share the one that received less is
     * preferred.
     */
    private fun factorFor(usedShare: Double): Double {
        val belowShare = ((usedShare - LARGEST_FACTOR_MAX_SHARE) / (1 - LARGEST_FACTOR_MAX_SHARE)).coerceIn(0.0, 1.0)
        val aboveShare = ((usedShare - 1) / (SMALLEST_FACTOR_MIN_SHARE - 1)).coerceIn(0.0, 1.0)
        return LARGEST_FACTOR -
            belowShare * (LARGEST_FACTOR - FACTOR_AT_SHARE) -
            aboveShare * (FACTOR_AT_SHARE - SMALLEST_FACTOR)
    }

    private const val LARGEST_FACTOR_MAX_SHARE = 0.3
    private const val SMALLEST_FACTOR_MIN_SHARE = 2.0
    private const val LARGEST_FACTOR = 0.9
    private const val FACTOR_AT_SHARE = 0.4
    private const val SMALLEST_FACTOR = 0.05
    private const val CALLER_RETRY_FACTOR = 1.2
    private const val INTERRUPTED_FACTOR = 2.0
}
