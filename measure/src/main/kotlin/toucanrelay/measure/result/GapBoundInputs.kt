package toucanrelay.measure.result

/**
 * Inputs of the bound on the service gap between two backlogged organisations.
 *
 * @property slots total slots of the fleet.
 * @property largestCost service units of the largest request, by its hint or its actual cost, whichever is greater.
 * @property unitsPerSecond service units that the fleet delivers per second.
 * @property exchangeDelaySeconds maximum time from a charge until every agent takes it into account.
 * @property hintFactor largest ratio of hints to actual costs; at least 1.
 */
public data class GapBoundInputs(
    public val slots: Int,
    public val largestCost: Double,
    public val unitsPerSecond: Double,
    public val exchangeDelaySeconds: Double,
    public val hintFactor: Double = 1.0,
)

/**
 * Returns the bound on the service gap between organisations with these two shares, in units per share.
 *
 * Charges that have not reached every agent count once for each end of the interval. Requests that are running, were
 * charged but not served, or were granted on outdated charges add four times the largest request for each slot.
 * docs/design/fair-service.md derives the bound.
 */
internal fun GapBoundInputs.boundBetween(firstShare: Double, secondShare: Double): Double {
    val unpropagated = 2 * hintFactor * unitsPerSecond * exchangeDelaySeconds
    val inProgress = (4 * slots + 1) * largestCost
    return (unpropagated + inProgress) * (1 / firstShare + 1 / secondShare)
}

/** Returns the bound for the two smallest of [shares], which is the widest of all pairs. */
internal fun GapBoundInputs.widestBound(shares: List<Double>): Double {
    require(shares.size >= 2) { "a gap needs at least two organisations" }
    val (smallest, secondSmallest) = shares.sorted()
    return boundBetween(smallest, secondSmallest)
}
