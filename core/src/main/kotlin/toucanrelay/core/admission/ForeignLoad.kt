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
    private var estimatedAtMilliseconds = 0L

    /** Requests not sent by this agent, by the last report; zero once that report is too old. */
    public val requests: Int
        get() = if (clock.nowMilliseconds() - estimatedAtMilliseconds <= REPORT_LIFETIME_MILLISECONDS) estimate else 0

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
        val from = now - ageMilliseconds - MAX_COUNT_DELAY_MILLISECONDS
        estimate = (requests - maxInFlightSince(from)).coerceAtLeast(0)
        estimatedAtMilliseconds = now
    }

    private fun maxInFlightSince(fromMilliseconds: Long): Int {
        val atStart = samples.lastOrNull { it.atMilliseconds <= fromMilliseconds }?.requests ?: 0
        return samples
            .filter { it.atMilliseconds > fromMilliseconds }
            .maxOfOrNull { it.requests }
            ?.coerceAtLeast(atStart) ?: atStart
    }

    /** Merges the two oldest samples into their maximum, so that merging never raises the estimate. */
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

        /** Longest time until the target's own count reflects a request that started or ended here. */
        const val MAX_COUNT_DELAY_MILLISECONDS = 500L

        /** Reports older than this are ignored. */
        const val REPORT_LIFETIME_MILLISECONDS = 5_000L
    }
}
