package toucanrelay.core.admission

import toucanrelay.core.time.Clock

/**
 * Estimates how many requests run on a target that did not come through this agent.
 *
 * Load reports lag, so a report is compared with the most that this agent had in flight from shortly before the moment
 * it tells of until now. A report only ever lowers what may be admitted, and for a limited time.
 *
 * Not safe for use by several threads at once.
 *
 * @param clock monotonic clock of this process.
 */
public class ForeignLoad(
    private val clock: Clock,
) {
    private val history = ArrayDeque<Reading>()
    private var estimate = 0
    private var estimatedAt = 0L

    /** Requests of unknown origin, by the last report that still counts. */
    public val requests: Int
        get() = if (clock.nowMilliseconds() - estimatedAt <= REPORT_LIFE_MILLISECONDS) estimate else 0

    /** Notes that this agent has [requests] in flight from now on. */
    public fun inFlight(requests: Int) {
        val now = clock.nowMilliseconds()
        history.addLast(Reading(now, requests))
        while (history.size > 1 && history[1].atMilliseconds < now - HISTORY_MILLISECONDS) history.removeFirst()
        if (history.size > HISTORY_LENGTH) mergeOldest()
    }

    /** Takes in a report that the target had [requests] running and waiting [ageMilliseconds] ago. */
    public fun reported(requests: Int, ageMilliseconds: Long) {
        val now = clock.nowMilliseconds()
        val from = now - ageMilliseconds - SLACK_MILLISECONDS
        estimate = (requests - mostInFlightSince(from)).coerceAtLeast(0)
        estimatedAt = now
    }

    private fun mostInFlightSince(fromMilliseconds: Long): Int {
        val atStart = history.lastOrNull { it.atMilliseconds <= fromMilliseconds }?.requests ?: 0
        return history
            .filter { it.atMilliseconds > fromMilliseconds }
            .maxOfOrNull { it.requests }
            ?.coerceAtLeast(atStart) ?: atStart
    }

    /** Joins the two oldest readings into one that errs towards this agent's own work. */
    private fun mergeOldest() {
        val first = history.removeFirst()
        val second = history.removeFirst()
        history.addFirst(Reading(first.atMilliseconds, maxOf(first.requests, second.requests)))
    }

    private data class Reading(
        val atMilliseconds: Long,
        val requests: Int,
    )

    private companion object {
        const val HISTORY_MILLISECONDS = 10_000L
        const val HISTORY_LENGTH = 4_096

        /** Time that a request may take from this agent into the target's own count, and out of it. */
        const val SLACK_MILLISECONDS = 500L

        /** A report older than this says nothing any more. */
        const val REPORT_LIFE_MILLISECONDS = 5_000L
    }
}
