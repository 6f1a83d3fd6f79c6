package toucanrelay.gateway.selftest

import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import toucanrelay.gateway.Gateway

/**
 * Runs the self-test while a new process is idle, so that the JIT compiler has compiled the code before callers arrive.
 *
 * On a quarter of a core, code that is not compiled yet delays the first thousands of requests. The warm-up makes way for
 * requests that arrive while the process starts up, and ends once callers arrive afterwards or the process stops.
 */
internal object WarmUp {
    /** Runs up to [MAX_ROUNDS] rounds of the self-test, and tells [gateway] when they suffice. */
    suspend fun run(gateway: Gateway) {
        delay(START_DELAY_MILLISECONDS)
        if (gateway.isStopping) return
        val problem = runRounds(gateway)
        if (problem != null && !gateway.isStopping) Logger.warn { "warm-up failed: $problem" }
    }

    /** Returns why the self-test failed, or null if it did not. */
    private suspend fun runRounds(gateway: Gateway): String? {
        var rounds = 0
        return try {
            SelfTest(MAX_ROUNDS) {
                if (rounds++ == SUFFICIENT_ROUNDS) gateway.recordWarm()
                while (gateway.isServing && !gateway.hasStartedUp) delay(PAUSE_MILLISECONDS)
                !gateway.isStopping && !(gateway.hasStartedUp && gateway.hasBeenCalled)
            }.run()
        } catch (failure: Exception) {
            // The process serves without a warm-up, and a process that is ending cannot begin one.
            failure.toString()
        }
    }

    private const val START_DELAY_MILLISECONDS = 500L
    private const val PAUSE_MILLISECONDS = 50L
    private const val SUFFICIENT_ROUNDS = 60
    private const val MAX_ROUNDS = 250
}
