package toucanrelay.core.admission

/**
 * Decides how many requests may run on a target at once.
 *
 * The limit starts at the cold limit and rises only on evidence: a round of completions while the limit was in use,
 * near the learned latency and without a loss of throughput against the round before. It falls to the cold limit at once when the target refuses,
 * fails, shows another start identity or takes many times as long as it did. The shape is that of congestion control
 * (slow start and congestion avoidance, RFC 5681; validation of an unused window, RFC 7661), with completions in the
 * place of acknowledgements. Time alone never raises the limit.
 *
 * Not safe for use by several threads at once.
 *
 * @param terms what the target bears.
 */
public class AdmissionLimit(
    terms: AdmissionTerms,
) {
    /** What the target bears. */
    public var terms: AdmissionTerms = terms
        private set

    /** Requests that may run at once. */
    public var current: Int = terms.coldSlots
        private set

    /** Counts the times that the target was taken for cold; a request that started in an earlier one proves nothing. */
    public var era: Int = 0
        private set

    private val latency = LatencyBaseline()
    private var round = LatencyRound()
    private var previous: RoundResult? = null
    private var cautiousAbove = Int.MAX_VALUE
    private var caution = 1

    /** Whether the target still has to show that it bears what it bears when warm. */
    public val isCold: Boolean
        get() = current < terms.slots

    /** Puts other [terms] into force; a target at its cold limit gets the new cold limit and no more. */
    public fun apply(terms: AdmissionTerms) {
        val isAtColdLimit = current <= this.terms.coldSlots
        this.terms = terms
        current = if (isAtColdLimit) terms.coldSlots else current.coerceIn(terms.coldSlots, terms.slots)
    }

    /**
     * Notes that a request ended whole.
     *
     * @param millisecondsPerUnit how long it took for each service unit.
     * @param inFlight requests that ran when it ended, itself included.
     * @param startedIn the [era] in which it started.
     */
    public fun completed(millisecondsPerUnit: Double, inFlight: Int, startedIn: Int) {
        if (startedIn != era) return
        if (latency.add(millisecondsPerUnit)) {
            cut()
            return
        }
        if (inFlight * 2 < current) return
        round.add(millisecondsPerUnit)
        if (round.completions >= completionsNeeded()) endRound()
    }

    /** Notes that the target refused or failed a request, or started anew: it is taken for cold. */
    public fun cut() {
        if (current > terms.coldSlots) {
            cautiousAbove = current / 2
            caution = (caution * 2).coerceAtMost(MAXIMUM_CAUTION)
        }
        restart()
    }

    /** Notes that the target was out of service and is cold again; that says nothing about what it bears when warm. */
    public fun restart() {
        era += 1
        current = terms.coldSlots
        previous = null
        round = LatencyRound()
        latency.forgetRecent()
    }

    private fun completionsNeeded(): Int =
        when {
            current <= terms.coldSlots -> current * COLD_ROUNDS
            current >= cautiousAbove -> current * caution
            else -> current
        }

    private fun endRound() {
        val result = RoundResult(current, round.meanMillisecondsPerUnit)
        val before = previous
        round = LatencyRound()
        if (!latency.isNear(result.millisecondsPerUnit)) return
        if (before != null && current > before.limit && result.throughput < before.throughput * LEAST_THROUGHPUT_KEPT) {
            current = before.limit
            cautiousAbove = current
            caution = (caution * 2).coerceAtMost(MAXIMUM_CAUTION)
            previous = null
            return
        }
        previous = result
        val step = (current / GROWTH_DIVISOR).coerceAtLeast(1)
        current = (current + step).coerceAtMost(terms.slots)
        if (current == terms.slots) caution = 1
    }

    private data class RoundResult(
        val limit: Int,
        val millisecondsPerUnit: Double,
    ) {
        /** By Little's law, requests in progress over the time of each. */
        val throughput: Double
            get() = limit / millisecondsPerUnit
    }

    private companion object {
        /** Rounds of completions that a target has to show at its cold limit. */
        const val COLD_ROUNDS = 4

        /** A raise adds the limit divided by this, at least one. */
        const val GROWTH_DIVISOR = 4

        /** A raise that leaves less than this part of the throughput is taken back. */
        const val LEAST_THROUGHPUT_KEPT = 0.7

        /** Most rounds of completions for one raise after cuts. */
        const val MAXIMUM_CAUTION = 8
    }
}
