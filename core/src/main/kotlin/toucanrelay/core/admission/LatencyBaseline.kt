package toucanrelay.core.admission

/** Learns how long a target takes for a service unit and notices when it suddenly takes many times as long. */
internal class LatencyBaseline {
    private var recent = 0.0
    private var baseline = 0.0
    private var samples = 0

    /** Adds a sample and tells whether the recent ones lie far above the baseline. */
    fun add(millisecondsPerUnit: Double): Boolean {
        val isFirst = samples == 0
        recent = if (isFirst) millisecondsPerUnit else blend(recent, millisecondsPerUnit, RECENT_WEIGHT)
        baseline = if (isFirst) millisecondsPerUnit else blend(baseline, millisecondsPerUnit, BASELINE_WEIGHT)
        samples += 1
        return samples > LEAST_SAMPLES && recent > baseline * JUMP_FACTOR && recent > SHORTEST_JUMP_MILLISECONDS
    }

    /** Whether the mean of a round lies near the baseline, so that it speaks for a warm target. */
    fun isNear(millisecondsPerUnit: Double): Boolean =
        millisecondsPerUnit <= maxOf(baseline * NEAR_FACTOR, SHORTEST_JUMP_MILLISECONDS)

    /** Forgets the recent samples but not the baseline, which a target that stays slow moves in time. */
    fun forgetRecent() {
        recent = baseline
    }

    private fun blend(old: Double, sample: Double, weight: Double) = old + (sample - old) * weight

    private companion object {
        const val RECENT_WEIGHT = 0.4
        const val BASELINE_WEIGHT = 0.01
        const val LEAST_SAMPLES = 16
        const val JUMP_FACTOR = 4.0
        const val NEAR_FACTOR = 2.0

        /** Differences below this are the scheduling of the machine. */
        const val SHORTEST_JUMP_MILLISECONDS = 5.0
    }
}
