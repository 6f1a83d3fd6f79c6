package toucanrelay.measure.result

/**
 * What the widest service gap between two backlogged organisations depends on.
 *
 * @property slots slots of the fleet.
 * @property largestCost service units of the largest request, by its hint or its true size, whichever is more.
 * @property unitsPerSecond service units that the fleet gives in a second.
 * @property exchangeDelaySeconds time from a charge until every agent decides with it.
 * @property hintFactor by how much hints exceed costs; at least 1.
 */
public data class GapTerms(
    public val slots: Int,
    public val largestCost: Double,
    public val unitsPerSecond: Double,
    public val exchangeDelaySeconds: Double,
    public val hintFactor: Double = 1.0,
)

/**
 * The widest gap between organisations with these two shares, as docs/design/fair-service.md derives it.
 *
 * What was charged and is not known everywhere counts once for each end of an interval; requests that run, that were
 * charged and not served, and that were granted in ignorance add one largest request for each slot, four times over.
 */
internal fun GapTerms.boundBetween(firstShare: Double, secondShare: Double): Double {
    val unknown = 2 * hintFactor * unitsPerSecond * exchangeDelaySeconds
    val inProgress = (4 * slots + 1) * largestCost
    return (unknown + inProgress) * (1 / firstShare + 1 / secondShare)
}

/** The bound between the two organisations with the least of [shares], which is the widest of all pairs. */
internal fun GapTerms.widestBound(shares: List<Double>): Double {
    require(shares.size >= 2) { "a gap needs two organisations" }
    val (least, next) = shares.sorted()
    return boundBetween(least, next)
}
