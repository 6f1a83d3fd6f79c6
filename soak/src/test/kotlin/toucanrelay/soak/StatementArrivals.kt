package toucanrelay.soak

/** The run of a target that a gateway knows something of. */
internal data class KnownRun(
    val target: String,
    val run: Int,
    val gateway: Int,
)

/**
 * Finds requests that gateways send to targets that have told them that they are leaving or want no requests.
 *
 * @param isUndisturbed returns whether a gateway was undisturbed between two clock readings.
 */
internal class StatementArrivals(
    private val isUndisturbed: (gateway: Int, fromMilliseconds: Long, untilMilliseconds: Long) -> Boolean,
) {
    private class Backoff(
        val askedAtMilliseconds: Long,
        val untilMilliseconds: Long,
    ) {
        var arrivals = 0
    }

    private val toldLeavingAtMilliseconds = HashMap<KnownRun, Long>()
    private val backoffs = HashMap<KnownRun, MutableList<Backoff>>()
    private val lateArrivals = ArrayList<String>()

    /** Records that the gateway of [known] passed on an answer in which its target says that it is leaving. */
    @Synchronized
    fun recordLeavingTold(known: KnownRun, atMilliseconds: Long) {
        toldLeavingAtMilliseconds.putIfAbsent(known, atMilliseconds)
    }

    /** Records that the target of [known] refused a request and asks for [seconds] without any. */
    @Synchronized
    fun recordRefusal(known: KnownRun, atMilliseconds: Long, seconds: Double) {
        val until = atMilliseconds + (seconds * MILLISECONDS_PER_SECOND).toLong()
        backoffs.getOrPut(known) { ArrayList() } += Backoff(atMilliseconds, until)
    }

    /** Records that a request arrived at the target of [known]. */
    @Synchronized
    fun recordArrival(known: KnownRun, atMilliseconds: Long) {
        val toldAt = toldLeavingAtMilliseconds[known]
        if (toldAt != null && atMilliseconds > toldAt + DRAIN_MILLISECONDS) {
            if (isUndisturbed(known.gateway, toldAt, atMilliseconds)) {
                lateArrivals += "$known got a request ${atMilliseconds - toldAt} ms after it said that it was leaving"
            }
        }
        backoffs[known]
            .orEmpty()
            .filter { atMilliseconds in it.askedAtMilliseconds + REACTION_MILLISECONDS until it.untilMilliseconds }
            .filter { isUndisturbed(known.gateway, it.askedAtMilliseconds, atMilliseconds) }
            .forEach { it.arrivals++ }
    }

    /** Number of statements of targets that are leaving, and of back-offs. */
    val statements: Int
        @Synchronized get() = toldLeavingAtMilliseconds.size + backoffs.values.sumOf { it.size }

    /** Describes all violations. */
    @Synchronized
    fun violations(): List<String> =
        lateArrivals +
            backoffs.flatMap { (known, asked) ->
                asked.filter { it.arrivals > MAX_ARRIVALS }.map { "$known got ${it.arrivals} requests in a back-off" }
            }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Time after which a gateway sends nothing more to a target that has said that it is leaving. */
        const val DRAIN_MILLISECONDS = 2_500L

        /** Time after which a gateway sends next to nothing to a target that has asked for a back-off. */
        const val REACTION_MILLISECONDS = 500L
        const val MAX_ARRIVALS = 2
    }
}
