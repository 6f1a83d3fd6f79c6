package toucanrelay.core.admission

/** Completions since the admission limit last changed. */
internal class LatencyRound {
    private var sum = 0.0

    var completions: Int = 0
        private set

    val meanMillisecondsPerUnit: Double
        get() = (sum / completions).coerceAtLeast(SHORTEST_MILLISECONDS_PER_UNIT)

    fun add(millisecondsPerUnit: Double) {
        sum += millisecondsPerUnit
        completions += 1
    }

    private companion object {
        /** Keeps quotients finite for answers that took no measurable time. */
        const val SHORTEST_MILLISECONDS_PER_UNIT = 1e-6
    }
}
