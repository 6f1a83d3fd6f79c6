package toucanrelay.soak

import java.util.concurrent.ConcurrentLinkedQueue

/** Time after a disturbance or a statement from which on a gateway has to keep the bounds of targets. */
internal const val CONTACT_MILLISECONDS = 4_000L

/**
 * What targets received, and when, from gateways that nothing had disturbed shortly before.
 *
 * Finds violations of the limit that targets state, and crashing requests that are sent on.
 */
internal class TargetArrivals {
    private class Arrival(
        val target: String,
        val atMilliseconds: Long,
    )

    private val limited = ConcurrentLinkedQueue<Arrival>()
    private val crashesAtMilliseconds = ConcurrentLinkedQueue<Long>()
    private val undisturbedCrashesAtMilliseconds = ConcurrentLinkedQueue<Long>()

    /** Records a request to [target], which states a limit; [limitedSince] is when it first did. */
    fun recordLimited(target: String, atMilliseconds: Long, limitedSince: Long) {
        if (atMilliseconds >= limitedSince + CONTACT_MILLISECONDS) limited += Arrival(target, atMilliseconds)
    }

    /** Records a request on which a target crashed. */
    fun recordCrash(atMilliseconds: Long, isUndisturbed: Boolean) {
        crashesAtMilliseconds += atMilliseconds
        if (isUndisturbed) undisturbedCrashesAtMilliseconds += atMilliseconds
    }

    /** Number of crashes. */
    val crashes: Int
        get() = crashesAtMilliseconds.size

    /** Describes all violations if each target states [limitPerSecond]. */
    fun violations(limitPerSecond: Double): List<String> =
        listOfNotNull(lateCrashes()) +
            limited.groupBy { it.target }.mapNotNull { excess(it.key, it.value, limitPerSecond) }

    private fun excess(target: String, arrivals: List<Arrival>, limitPerSecond: Double): String? {
        val times = arrivals.map { it.atMilliseconds }.sorted()
        val most = times.indices.maxOf { i -> times.drop(i).count { it < times[i] + WINDOW_MILLISECONDS } }
        val allowed = EXCESS_FACTOR * limitPerSecond * WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND + EXCESS_REQUESTS
        return "$target states $limitPerSecond per second and got $most in 4 s".takeIf { most > allowed }
    }

    private fun lateCrashes(): String? {
        val third = crashesAtMilliseconds.sorted().getOrNull(CRASHES_TO_KNOW - 1) ?: return null
        val late = undisturbedCrashesAtMilliseconds.count { it > third + CONTACT_MILLISECONDS }
        return "a request was sent on $late times though three targets had crashed on it".takeIf { late > MAX_LATE }
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 4_000L
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val EXCESS_FACTOR = 1.5
        const val EXCESS_REQUESTS = 5
        const val CRASHES_TO_KNOW = 3
        const val MAX_LATE = 3
    }
}
