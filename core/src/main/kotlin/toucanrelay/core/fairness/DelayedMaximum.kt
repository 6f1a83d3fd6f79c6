package toucanrelay.core.fairness

/**
 * Tells how large a growing value was some time ago.
 *
 * @param delayMilliseconds how far back [value] looks, at least; at most an eighth more.
 */
internal class DelayedMaximum(
    private val delayMilliseconds: Long,
) {
    private data class Sample(
        val atMilliseconds: Long,
        val value: Double,
    )

    private val samples = ArrayDeque<Sample>()
    private val spacingMilliseconds = maxOf(1, delayMilliseconds / SAMPLES)

    /** The greatest value observed before the delay; negative infinity when there is none. */
    var value: Double = Double.NEGATIVE_INFINITY
        private set

    /** Notes that the value was [latest] at [nowMilliseconds]; null when there was none. */
    fun observe(nowMilliseconds: Long, latest: Double?) {
        if (latest != null) record(nowMilliseconds, latest)
        while (samples.isNotEmpty() && nowMilliseconds - samples.first().atMilliseconds >= delayMilliseconds) {
            value = maxOf(value, samples.removeFirst().value)
        }
    }

    private fun record(nowMilliseconds: Long, latest: Double) {
        val last = samples.lastOrNull()
        if (last == null || nowMilliseconds - last.atMilliseconds >= spacingMilliseconds) {
            samples.addLast(Sample(nowMilliseconds, latest))
        }
    }

    private companion object {
        const val SAMPLES = 8
    }
}
