package toucanrelay.gateway

import toucanrelay.core.time.Clock

/**
 * Tells whether a process that has started can carry its part of the load.
 *
 * Code that the JIT compiler has not compiled yet takes many times as long, which on a small instance makes a process
 * refuse most requests for seconds. Until the warm-up is complete the load balancer should therefore send callers to
 * other processes, but not for long: requests compile the code as well.
 */
internal class StartUp(
    private val clock: Clock,
) {
    private val startedAtMilliseconds = clock.nowMilliseconds()

    @Volatile
    private var isWarm = false

    /** Whether the process is warmed up, or has had time enough for it. */
    val isComplete: Boolean
        get() = isWarm || clock.nowMilliseconds() - startedAtMilliseconds >= MAX_MILLISECONDS

    /** Records that the warm-up is complete. */
    fun recordWarm() {
        isWarm = true
    }

    private companion object {
        const val MAX_MILLISECONDS = 15_000L
    }
}
