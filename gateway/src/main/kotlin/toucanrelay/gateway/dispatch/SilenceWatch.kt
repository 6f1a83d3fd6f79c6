package toucanrelay.gateway.dispatch

import toucanrelay.core.time.Clock

/**
 * Finds attempts at targets that have gone silent, so that requests that may run again go elsewhere in time.
 *
 * An engine sends events for someone all the time, so silence on all connections tells a lost target or path from one
 * that is merely busy. A request that may not run elsewhere is left to its deadline. While the process itself is behind
 * with reading, silence tells nothing.
 */
internal class SilenceWatch(
    private val clock: Clock,
    private val ownLagMilliseconds: () -> Long,
) {
    private var laggedAtMilliseconds = Long.MIN_VALUE / 2

    private val attempts = LinkedHashSet<Attempt>()

    /** Watches [attempt] while [block] runs. */
    suspend fun <T> watch(attempt: Attempt, block: suspend () -> T): T {
        attempts.add(attempt)
        try {
            return block()
        } finally {
            attempts.remove(attempt)
        }
    }

    /** Abandons the attempts whose targets have been silent for too long; called several times a second. */
    fun sweep() {
        val now = clock.nowMilliseconds()
        if (ownLagMilliseconds() >= LAG_THAT_COUNTS_MILLISECONDS) laggedAtMilliseconds = now
        if (now - laggedAtMilliseconds < TRUSTED_AFTER_LAG_MILLISECONDS) return
        attempts.filter { it.mayRunElsewhere && isSilent(it, now) }.forEach { it.abandon() }
    }

    private fun isSilent(attempt: Attempt, now: Long): Boolean {
        val lastSign = maxOf(attempt.sentAtMilliseconds, attempt.target.health.lastReceivedAtMilliseconds)
        return now - lastSign > attempt.longestSilenceMilliseconds
    }

    private companion object {
        const val LAG_THAT_COUNTS_MILLISECONDS = 120L
        const val TRUSTED_AFTER_LAG_MILLISECONDS = 1_000L
    }
}
