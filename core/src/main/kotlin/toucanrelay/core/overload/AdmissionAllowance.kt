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
     * @param standing what the request has behind it.
     */
    public fun milliseconds(
        objectiveMilliseconds: Long,
        servedPerSecond: Double,
        levelPerSecond: Double,
        standing: RequestStanding,
    ): Double {
        val partOfShare = servedPerSecond / levelPerSecond
        val factor =
            when (standing) {
                RequestStanding.NEW -> factorAt(partOfShare)
                RequestStanding.RETURNED -> if (partOfShare < 1) FACTOR_RETURNED else factorAt(partOfShare)
                RequestStanding.BEGUN -> FACTOR_BEGUN
            }
        return objectiveMilliseconds * factor
    }

    /**
     * Falls as the organisation comes up to its share, and on beyond it, so that of two organisations above their
     * share the one that has got less goes first.
     */
    private fun factorAt(partOfShare: Double): Double {
        val towards = ((partOfShare - FULL_ROOM_UP_TO) / (1 - FULL_ROOM_UP_TO)).coerceIn(0.0, 1.0)
        val beyond = ((partOfShare - 1) / (NO_ROOM_FROM - 1)).coerceIn(0.0, 1.0)
        return LARGEST_FACTOR -
            towards * (LARGEST_FACTOR - FACTOR_AT_SHARE) -
            beyond * (FACTOR_AT_SHARE - SMALLEST_FACTOR)
    }

    private const val FULL_ROOM_UP_TO = 0.3
    private const val NO_ROOM_FROM = 2.0
    private const val LARGEST_FACTOR = 0.9
    private const val FACTOR_AT_SHARE = 0.4
    private const val SMALLEST_FACTOR = 0.05
    private const val FACTOR_RETURNED = 1.2
    private const val FACTOR_BEGUN = 2.0
}
