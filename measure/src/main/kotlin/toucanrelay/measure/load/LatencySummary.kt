package toucanrelay.measure.load

import org.HdrHistogram.Histogram

private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

/** Returns the value at [percentile] (0 to 100) in milliseconds, of a histogram in microseconds. */
internal fun Histogram.milliseconds(percentile: Double): Double =
    getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

/** Merges all histograms into one. */
internal fun Iterable<Histogram>.merged(): Histogram {
    val merged = Histogram(first())
    drop(1).forEach { merged.add(it) }
    return merged
}
