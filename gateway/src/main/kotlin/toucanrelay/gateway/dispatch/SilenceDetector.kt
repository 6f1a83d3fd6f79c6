package toucanrelay.gateway.dispatch

import toucanrelay.core.time.Clock

/**
 * Detects attempts at silent targets, so that requests that may be retried are also sent to other targets in time.
 *
 * A busy engine sends events of some request all the time, so silence on all connections means that the target has
 * stopped for a while or that it or the network path is lost. Which one only time tells, so silence ends no attempt. It
 * is not evaluated during and shortly after a lag of this process's event loop, when received data waits unread.
 */
internal class SilenceDetector(
    private val clock: Clock,
    private val ownLagMilliseconds: () -> Long,
) {
    private var laggedAtMilliseconds = Long.MIN_VALUE / 2
    private var checkedAtMilliseconds = clock.nowMilliseconds()

    private val handlers = LinkedHashMap<HedgeableAttempt, () -> Unit>()

    /** Monitors [attempt] while [block] runs, and calls [onSilent] several times per second while its target is silent. */
    suspend fun <T> watch(attempt: HedgeableAttempt, onSilent: () -> Unit, block: suspend () -> T): T {
        handlers[attempt] = onSilent
        try {
            return block()
        } finally {
            handlers.remove(attempt)
        }
    }

    /** Reports the attempts whose targets have been silent for too long; called every [CHECK_PERIOD_MILLISECONDS]. */
    fun reportSilent() {
        val now = clock.nowMilliseconds()
        if (hasLagged(now)) laggedAtMilliseconds = now
        if (now - laggedAtMilliseconds < LAG_RECOVERY_MILLISECONDS) return
        handlers.keys.filter { isTargetSilent(it) }.forEach { it.recordTargetSilent() }
        handlers
            .filterKeys { isSilent(it) }
            .values
            .forEach { it() }
    }

    /** Returns whether the event loop lags, or a pause has just ended that the measured lag may not include yet. */
    private fun hasLagged(now: Long): Boolean {
        val delay = now - checkedAtMilliseconds - CHECK_PERIOD_MILLISECONDS
        checkedAtMilliseconds = now
        return maxOf(delay, ownLagMilliseconds()) >= LAG_THRESHOLD_MILLISECONDS
    }

    /** Returns whether [attempt] gets no further, since its target, or its connection within a stream, is silent. */
    fun isSilent(attempt: HedgeableAttempt): Boolean = isTargetSilent(attempt) || isStalled(attempt)

    /** Returns whether the target of [attempt] has sent nothing for longer than a healthy one may. */
    private fun isTargetSilent(attempt: HedgeableAttempt): Boolean {
        val lastActivity = maxOf(attempt.sentAtMilliseconds, attempt.targetHeardAtMilliseconds)
        return !attempt.isPaused && clock.nowMilliseconds() - lastActivity > attempt.maxSilenceMilliseconds
    }

    /** Returns whether the stream of [attempt] has stopped for long, though its target may send on other connections. */
    private fun isStalled(attempt: HedgeableAttempt): Boolean {
        val lastPartAt = attempt.lastPartAtMilliseconds ?: return false
        return !attempt.isPaused &&
            clock.nowMilliseconds() - lastPartAt > attempt.maxSilenceMilliseconds * STALL_FACTOR
    }

    internal companion object {
        /** Period of the checks. */
        const val CHECK_PERIOD_MILLISECONDS = 250L
        private const val LAG_THRESHOLD_MILLISECONDS = 120L
        private const val LAG_RECOVERY_MILLISECONDS = 1_000L
        private const val STALL_FACTOR = 2
    }
}
