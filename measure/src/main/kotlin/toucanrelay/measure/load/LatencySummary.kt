package toucanrelay.measure.load

import org.HdrHistogram.Histogram

private const val MICROSECONDS_IN_A_MILLISECOND = 1_000.0

/** The value in milliseconds that [percentile] in 100 recorded microseconds do not exceed. */
internal fun Histogram.milliseconds(percentile: Double): Double =
    getValueAtPercentile(percentile) / MICROSECONDS_IN_A_MILLISECOND

/** One histogram with the values of all. */
internal fun Iterable<Histogram>.merged(): Histogram {
    val merged = Histogram(first())
    drop(1).forEach { merged.add(it) }
    return merged
}
