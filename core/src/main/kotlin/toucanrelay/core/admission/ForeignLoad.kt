package toucanrelay.core.admission

import toucanrelay.core.time.Clock

/**
 * Estimates how many requests on a target were not sent by this agent.
 *
 * Load reports lag, so a report is compared with the maximum that this agent had in flight from shortly before the
 * reported moment until now. A report can only lower the number of admitted requests, and only for a limited time.
 *
 * Not thread-safe.
 *
 * @param clock monotonic clock of this process.
 */
public class ForeignLoad(
    private val clock: Clock,
) {
    private val samples = ArrayDeque<Sample>()
    private var estimate = 0
    private var estimatedAt = 0L

    /** Requests not sent by this agent, by the last report; zero once that report is too old. */
    public val requests: Int
        get() = if (clock.nowMilliseconds() - estimatedAt <= REPORT_LIFETIME_MILLISECONDS) estimate else 0

    /** Records that this agent has [requests] in flight from now on. */
    public fun recordInFlight(requests: Int) {
        val now = clock.nowMilliseconds()
        samples.addLast(Sample(now, requests))
        while (samples.size > 1 && samples[1].atMilliseconds < now - HISTORY_MILLISECONDS) samples.removeFirst()
        if (samples.size > HISTORY_SAMPLES) mergeOldest()
    }

    /** Records a report that the target had [requests] running and waiting [ageMilliseconds] ago. */
    public fun recordReport(requests: Int, ageMilliseconds: Long) {
        val now = clock.nowMilliseconds()
        val from = now - ageMilliseconds - SLACK_MILLISECONDS
        estimate = (requests - maximumInFlightSince(from)).coerceAtLeast(0)
        estimatedAt = now
    }

    private fun maximumInFlightSince(fromMilliseconds: Long): Int {
        val atStart = samples.lastOrNull { it.atMilliseconds <= fromMilliseconds }?.requests ?: 0
        return samples
            .filter { it.atMilliseconds > fromMilliseconds }
            .maxOfOrNull { it.requests }
            ?.coerceAtLeast(atStart) ?: atStart
    }

    /** Merges the two oldest samples into their maximum, so that the foreign load is never overestimated. */
    private fun mergeOldest() {
        val first = samples.removeFirst()
        val second = samples.removeFirst()
        samples.addFirst(Sample(first.atMilliseconds, maxOf(first.requests, second.requests)))
    }

    private data class Sample(
        val atMilliseconds: Long,
        val requests: Int,
    )

    private companion object {
        const val HISTORY_MILLISECONDS = 10_000L
        const val HISTORY_SAMPLES = 4_096

        /** Longest delay between a change here and the same change in the target's own count. */
        const val SLACK_MILLISECONDS = 500L

        /** Reports older than this are ignored. */
        const val REPORT_LIFETIME_MILLISECONDS = 5_000L
    }
}
