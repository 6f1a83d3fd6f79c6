package toucanrelay.measure.result

import kotlin.math.abs

/**
 * Two organisations and the widest gap in service between them.
 *
 * @property first the organisation that was ahead at the end of the interval.
 * @property second the other one.
 * @property unitsOfShare difference in service units, each organisation's divided by its share.
 */
public data class ServiceGap(
    public val first: String,
    public val second: String,
    public val unitsOfShare: Double,
)

/**
 * Finds the widest service gap over all intervals between organisations that stay backlogged.
 *
 * The gap over an interval is how much the difference of two organisations' service changes in it, so the widest over
 * all intervals is the range of that difference.
 *
 * @param organisations names of the organisations, in the order of the samples.
 */
public class GapMeter(
    private val organisations: List<String>,
) {
    private class Range {
        var lowest = Double.POSITIVE_INFINITY
        var highest = Double.NEGATIVE_INFINITY
        var last = 0.0

        val width: Double
            get() = if (highest >= lowest) highest - lowest else 0.0

        fun add(value: Double) {
            lowest = minOf(lowest, value)
            highest = maxOf(highest, value)
            last = value
        }
    }

    private val ranges = organisations.indices.map { first -> List(first) { Range() } }

    /** Takes the service of each organisation, divided by its share, at one moment. */
    public fun sample(serviceOfShare: List<Double>) {
        require(serviceOfShare.size == organisations.size) { "a value for each organisation is needed" }
        ranges.forEachIndexed { first, row ->
            row.forEachIndexed { second, range -> range.add(serviceOfShare[first] - serviceOfShare[second]) }
        }
    }

    /** The widest gap so far; null for fewer than two organisations. */
    public fun widest(): ServiceGap? =
        ranges
            .flatMapIndexed { first, row -> row.mapIndexed { second, range -> gap(first, second, range) } }
            .maxByOrNull { it.unitsOfShare }

    /** The widest difference between the first sample and the last. */
    public fun atEnd(): Double = ranges.flatten().maxOfOrNull { abs(it.last) } ?: 0.0

    private fun gap(first: Int, second: Int, range: Range): ServiceGap {
        val isFirstAhead = range.last >= (range.lowest + range.highest) / 2
        val ahead = if (isFirstAhead) first else second
        val behind = if (isFirstAhead) second else first
        return ServiceGap(organisations[ahead], organisations[behind], range.width)
    }
}
