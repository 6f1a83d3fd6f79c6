package toucanrelay.core.fairness

/**
 * Tracks the maximum that a growing value had reached some time ago.
 *
 * @param delayMilliseconds minimum time by which [value] lags behind the observed value; it lags by at most an eighth more.
 */
internal class DelayedMaximum(
    private val delayMilliseconds: Long,
) {
    private data class Sample(
        val atMilliseconds: Long,
        val value: Double,
    )

    private val samples = ArrayDeque<Sample>()
    private val spacingMilliseconds = maxOf(1, delayMilliseconds / SAMPLES_PER_DELAY)

    /** Maximum of the values observed at least the delay ago; negative infinity when there is none. */
    var value: Double = Double.NEGATIVE_INFINITY
        private set

    /** Records that the value was [latest] at [nowMilliseconds]; null when there was none. */
    fun record(nowMilliseconds: Long, latest: Double?) {
        if (latest != null) addSample(nowMilliseconds, latest)
        while (samples.isNotEmpty() && nowMilliseconds - samples.first().atMilliseconds >= delayMilliseconds) {
            value = maxOf(value, samples.removeFirst().value)
        }
    }

    private fun addSample(nowMilliseconds: Long, latest: Double) {
        val last = samples.lastOrNull()
        if (last == null || nowMilliseconds - last.atMilliseconds >= spacingMilliseconds) {
            samples.addLast(Sample(nowMilliseconds, latest))
        }
    }

    private companion object {
        const val SAMPLES_PER_DELAY = 8
    }
}
