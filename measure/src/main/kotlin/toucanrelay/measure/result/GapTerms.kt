package toucanrelay.measure.result

/**
 * What the widest service gap between two backlogged organisations depends on.
 *
 * @property slots slots of the fleet.
 * @property largestCost service units of the largest request.
 * @property unitsPerSecond service units that the fleet gives in a second.
 * @property exchangeDelaySeconds time until every entry knows what any entry charged.
 */
public data class GapTerms(
    public val slots: Int,
    public val largestCost: Double,
    public val unitsPerSecond: Double,
    public val exchangeDelaySeconds: Double,
)

/**
 * The widest gap that least virtual time allows between organisations with these two shares.
 *
 * An organisation with the least known virtual time is served next. What is charged but not yet received is at most one
 * largest request in each slot; what was charged and is not yet known everywhere is at most what the fleet gives during
 * the exchange delay. Either may be on one organisation's side at the beginning of an interval and on the other's at its
 * end, so each counts once for each share. Without slots and delay this is the bound of start-time fair queueing (Goyal,
 * Vin and Cheng, 1996); with slots alone it is the bound for continuous batching of Sheng et al. (Fairness in Serving
 * Large Language Models, 2024).
 */
internal fun GapTerms.boundBetween(firstShare: Double, secondShare: Double): Double {
    val uncertain = slots * largestCost + unitsPerSecond * exchangeDelaySeconds
    return uncertain / firstShare + uncertain / secondShare
}

/** The bound between the two organisations with the least of [shares], which is the widest of all pairs. */
internal fun GapTerms.widestBound(shares: List<Double>): Double {
    val (least, next) = shares.sorted().take(2)
    return boundBetween(least, next)
}
