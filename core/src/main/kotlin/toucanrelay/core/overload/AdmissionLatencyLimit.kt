package toucanrelay.core.overload

import kotlin.math.pow

/**
 * Computes the highest expected time to the first event with which a request is admitted.
 *
 * Organisations below their max-min fair share get a higher limit and may therefore fill the engines further than those
 * above it. This reserves room for them, while organisations above their share can still use spare capacity. A request
 * keeps the limit of its organisation while it waits: where many wait, they would else end with less than the new requests
 * of an organisation above its share.
 */
public object AdmissionLatencyLimit {
    /**
     * Returns the limit in milliseconds.
     *
     * @param objectiveMilliseconds the route's latency objective.
     * @param servedPerSecond tokens per second that the fleet currently serves to the organisation.
     * @param levelPerSecond max-min fair level of the demands of all organisations, in tokens per second; 0 while
     *   nothing is served yet, which limits nobody.
     * @param history earlier attempts at the request.
     * @param waitedMilliseconds time since the request arrived; it lowers the limit only where the first event would come
     *   too late.
     */
    public fun milliseconds(
        objectiveMilliseconds: Long,
        servedPerSecond: Double,
        levelPerSecond: Double,
        history: RequestHistory,
        waitedMilliseconds: Long = 0,
    ): Double {
        val usedShare = if (levelPerSecond > 0) servedPerSecond / levelPerSecond else 0.0
        val factor =
            when (history) {
                RequestHistory.NEW -> factorFor(usedShare)
                RequestHistory.CALLER_RETRY -> callerRetryFactorFor(usedShare)
                RequestHistory.INTERRUPTED -> INTERRUPTED_FACTOR
            }
        return minOf(
            objectiveMilliseconds * factor,
            objectiveMilliseconds * maxTotalFactorFor(history) - waitedMilliseconds,
        )
    }

    /** Returns the highest sum of the waiting time and the expected time, as a multiple of the objective. */
    private fun maxTotalFactorFor(history: RequestHistory): Double =
        when (history) {
            RequestHistory.NEW -> MAX_FACTOR
            RequestHistory.CALLER_RETRY -> MAX_CALLER_RETRY_FACTOR
            RequestHistory.INTERRUPTED -> Double.POSITIVE_INFINITY
        }

    /**
     * Returns the factor for an organisation that uses [usedShare] of its fair share.
     *
     * It keeps falling above the share, so that of two organisations above their share the one that received less is
     * preferred, however far above it they are.
     */
    private fun factorFor(usedShare: Double): Double {
        if (usedShare > 1) return FACTOR_AT_SHARE / usedShare.pow(DECLINE_ABOVE_SHARE)
        val belowShare = ((usedShare - MAX_FACTOR_UP_TO_SHARE) / (1 - MAX_FACTOR_UP_TO_SHARE)).coerceIn(0.0, 1.0)
        return MAX_FACTOR - belowShare * (MAX_FACTOR - FACTOR_AT_SHARE)
    }

    /** Returns the factor for a retry; it approaches the one for a new request as the share is used up. */
    private fun callerRetryFactorFor(usedShare: Double): Double {
        val advantage = 1 + CALLER_RETRY_ADVANTAGE * (1 - usedShare).coerceAtLeast(0.0)
        return minOf(MAX_CALLER_RETRY_FACTOR, factorFor(usedShare) * advantage)
    }

    private const val MAX_FACTOR_UP_TO_SHARE = 0.3
    private const val MAX_FACTOR = 0.9
    private const val FACTOR_AT_SHARE = 0.1
    private const val DECLINE_ABOVE_SHARE = 3
    private const val CALLER_RETRY_ADVANTAGE = 0.8
    private const val MAX_CALLER_RETRY_FACTOR = 1.2
    private const val INTERRUPTED_FACTOR = 2.0
}
