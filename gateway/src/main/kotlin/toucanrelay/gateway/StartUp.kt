package toucanrelay.gateway

import toucanrelay.core.time.Clock

/**
 * Tells whether a process that has started can carry its part of the load.
 *
 * Code that the JIT compiler has not compiled yet takes many times as long, which on a small instance makes a process
 * refuse most requests for seconds. Until the warm-up is complete the load balancer should therefore send callers to
 * other processes, if there are enough of them, but not for long: requests compile the code as well.
 *
 * @param isSpared returns whether enough other processes are ready to take the callers.
 */
internal class StartUp(
    private val clock: Clock,
    private val isSpared: () -> Boolean,
) {
    private val startedAtMilliseconds = clock.nowMilliseconds()

    /** Whether the process is warmed up, has had time enough for it, or is needed before; stays true. */
    @Volatile
    var isComplete = false
        private set

    /** Decides anew; to be called several times per second on the event loop. */
    fun update() {
        val elapsed = clock.nowMilliseconds() - startedAtMilliseconds
        val isNeeded = elapsed >= MIN_MILLISECONDS && !isSpared()
        if (isNeeded || elapsed >= MAX_MILLISECONDS) isComplete = true
    }

    /** Records that the warm-up is complete. */
    fun recordWarm() {
        isComplete = true
    }

    private companion object {
        const val MAX_MILLISECONDS = 12_000L

        /** Time in which a process hears of the others. */
        const val MIN_MILLISECONDS = 2_000L
    }
}
