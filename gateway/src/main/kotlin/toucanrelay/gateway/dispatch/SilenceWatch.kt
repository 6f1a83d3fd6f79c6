package toucanrelay.gateway.dispatch

import toucanrelay.core.time.Clock

/**
 * Finds attempts at targets that have gone silent, so that requests that may run again go elsewhere in time.
 *
 * An engine sends events for someone all the time, so silence on all connections tells a lost target or path from one
 * that is merely busy. A request that may not run elsewhere is left to its deadline.
 */
internal class SilenceWatch(
    private val clock: Clock,
) {
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
        attempts.filter { it.mayRunElsewhere && isSilent(it, now) }.forEach { it.abandon() }
    }

    private fun isSilent(attempt: Attempt, now: Long): Boolean {
        val lastSign = maxOf(attempt.sentAtMilliseconds, attempt.target.health.heardAtMilliseconds)
        return now - lastSign > attempt.longestSilenceMilliseconds
    }
}
