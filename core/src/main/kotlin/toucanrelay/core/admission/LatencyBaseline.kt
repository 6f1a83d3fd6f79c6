package toucanrelay.core.admission

/** Learns the latency of a target per service unit and detects a sudden increase to many times the baseline. */
internal class LatencyBaseline {
    private var recent = 0.0
    private var baseline = 0.0
    private var samples = 0

    /** Adds a sample and returns whether the recent average is far above the baseline. */
    fun add(millisecondsPerUnit: Double): Boolean {
        val isFirst = samples == 0
        recent = if (isFirst) millisecondsPerUnit else blend(recent, millisecondsPerUnit, RECENT_WEIGHT)
        baseline = if (isFirst) millisecondsPerUnit else blend(baseline, millisecondsPerUnit, BASELINE_WEIGHT)
        samples += 1
        return samples > MIN_SAMPLES && recent > baseline * JUMP_FACTOR && recent > NOISE_MILLISECONDS_PER_UNIT
    }

    /** Returns whether the mean latency of a round is near the baseline, as expected of a warm target. */
    fun isNear(millisecondsPerUnit: Double): Boolean =
        millisecondsPerUnit <= maxOf(baseline * NEAR_FACTOR, NOISE_MILLISECONDS_PER_UNIT)

    /** Resets the recent average to the baseline, which itself adapts slowly to a target that stays slow. */
    fun resetRecent() {
        recent = baseline
    }

    private fun blend(old: Double, sample: Double, weight: Double) = old + (sample - old) * weight

    private companion object {
        const val RECENT_WEIGHT = 0.4
        const val BASELINE_WEIGHT = 0.01
        const val MIN_SAMPLES = 16
        const val JUMP_FACTOR = 4.0
        const val NEAR_FACTOR = 2.0

        /** Latencies below this are within the scheduling noise of the operating system. */
        const val NOISE_MILLISECONDS_PER_UNIT = 5.0
    }
}
