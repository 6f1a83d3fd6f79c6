package toucanrelay.measure.result

import kotlin.math.abs

/**
 * The widest service gap between two organisations over an interval.
 *
 * @property ahead the organisation that is ahead at the end of the interval.
 * @property behind the other organisation.
 * @property unitsPerShare difference of the organisations' service units, each divided by the organisation's share.
 */
public data class ServiceGap(
    public val ahead: String,
    public val behind: String,
    public val unitsPerShare: Double,
)

/**
 * Finds the widest service gap over all intervals between organisations that stay backlogged.
 *
 * The gap over an interval is the change of the difference between two organisations' service, so the widest gap over
 * all intervals equals the range of that difference.
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

    /** Adds a sample: the service units of each organisation so far, divided by its share. */
    public fun sample(unitsPerShare: List<Double>) {
        require(unitsPerShare.size == organisations.size) { "a sample needs one value for each organisation" }
        ranges.forEachIndexed { first, row ->
            row.forEachIndexed { second, range -> range.add(unitsPerShare[first] - unitsPerShare[second]) }
        }
    }

    /** Returns the widest gap so far; null for fewer than two organisations. */
    public fun widest(): ServiceGap? =
        ranges
            .flatMapIndexed { first, row -> row.mapIndexed { second, range -> gap(first, second, range) } }
            .maxByOrNull { it.unitsPerShare }

    /** Returns the largest difference between two organisations in the last sample, in units per share. */
    public fun lastDifference(): Double = ranges.flatten().maxOfOrNull { abs(it.last) } ?: 0.0

    private fun gap(first: Int, second: Int, range: Range): ServiceGap {
        val isFirstAhead = range.last >= (range.lowest + range.highest) / 2
        val ahead = if (isFirstAhead) first else second
        val behind = if (isFirstAhead) second else first
        return ServiceGap(organisations[ahead], organisations[behind], range.width)
    }
}
