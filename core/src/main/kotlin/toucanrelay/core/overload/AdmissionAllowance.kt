package toucanrelay.core.overload

/**
 * How long the first event of a request may be expected to take for the request to be admitted.
 *
 * Organisations below their max-min share may fill the engines further than those above it, so that there is always
 * room for them, while whoever is above may still use what is left over.
 */
public object AdmissionAllowance {
    /**
     * The allowed time to the first event, in milliseconds.
     *
     * @param objectiveMilliseconds the route's latency objective.
     * @param servedPerSecond what the organisation gets now, over the fleet.
     * @param levelPerSecond the max-min level of all organisations' demands.
     * @param hasReturned whether the caller comes back after a refusal.
     */
    public fun milliseconds(
        objectiveMilliseconds: Long,
        servedPerSecond: Double,
        levelPerSecond: Double,
        hasReturned: Boolean,
    ): Double {
        val factor =
            when {
                servedPerSecond > levelPerSecond * OVER_SHARE -> FACTOR_OVER_SHARE
                hasReturned -> FACTOR_RETURNED
                servedPerSecond > levelPerSecond * NEAR_SHARE -> FACTOR_NEAR_SHARE
                else -> FACTOR_BELOW_SHARE
            }
        return objectiveMilliseconds * factor
    }

    private const val OVER_SHARE = 1.1
    private const val NEAR_SHARE = 0.8
    private const val FACTOR_OVER_SHARE = 0.4
    private const val FACTOR_NEAR_SHARE = 0.7
    private const val FACTOR_BELOW_SHARE = 0.85
    private const val FACTOR_RETURNED = 1.2
}
