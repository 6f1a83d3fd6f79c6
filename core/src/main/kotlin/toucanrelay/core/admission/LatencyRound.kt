package toucanrelay.core.admission

/** Accumulates the latency of completions during one round of the admission limit. */
internal class LatencyRound {
    private var sum = 0.0

    var completions: Int = 0
        private set

    val meanMillisecondsPerUnit: Double
        get() = (sum / completions).coerceAtLeast(MIN_MILLISECONDS_PER_UNIT)

    fun add(millisecondsPerUnit: Double) {
        sum += millisecondsPerUnit
        completions += 1
    }

    private companion object {
        /** Avoids a division by zero when answers took no measurable time. */
        const val MIN_MILLISECONDS_PER_UNIT = 1e-6
    }
}
