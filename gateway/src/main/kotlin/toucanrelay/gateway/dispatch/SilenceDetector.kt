package toucanrelay.gateway.dispatch

import toucanrelay.core.time.Clock

/**
 * Detects attempts at silent targets, so that requests that may be retried are sent to other targets in time.
 *
 * A busy engine sends events of some request all the time, so silence on all connections means that the target or the
 * network path is lost. Requests that must not be retried run until their deadline. Silence is not evaluated during and
 * shortly after a lag of this process's event loop, when received data waits unread.
 */
internal class SilenceDetector(
    private val clock: Clock,
    private val ownLagMilliseconds: () -> Long,
) {
    private var laggedAtMilliseconds = Long.MIN_VALUE / 2

    private val attempts = LinkedHashSet<Attempt>()

    /** Monitors [attempt] while [block] runs. */
    suspend fun <T> watch(attempt: Attempt, block: suspend () -> T): T {
        attempts.add(attempt)
        try {
            return block()
        } finally {
            attempts.remove(attempt)
        }
    }

    /** Abandons the attempts whose targets have been silent for too long; called several times per second. */
    fun abandonSilent() {
        val now = clock.nowMilliseconds()
        if (ownLagMilliseconds() >= LAG_THRESHOLD_MILLISECONDS) laggedAtMilliseconds = now
        if (now - laggedAtMilliseconds < LAG_RECOVERY_MILLISECONDS) return
        attempts.filter { it.mayRunElsewhere && !it.isPaused && isSilent(it, now) }.forEach { it.abandon() }
    }

    private fun isSilent(attempt: Attempt, now: Long): Boolean {
        val lastActivity = maxOf(attempt.sentAtMilliseconds, attempt.target.health.lastReceivedAtMilliseconds)
        return now - lastActivity > attempt.maxSilenceMilliseconds
    }

    private companion object {
        const val LAG_THRESHOLD_MILLISECONDS = 120L
        const val LAG_RECOVERY_MILLISECONDS = 1_000L
    }
}
