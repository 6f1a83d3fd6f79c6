package toucanrelay.gateway.selftest

import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger

/**
 * Runs the self-test while a new process is idle, so that the JIT compiler has compiled the code before callers arrive.
 *
 * On a quarter of a core, code that is not compiled yet delays the first thousands of requests. A process that receives
 * requests immediately, such as after a restart under load, skips the warm-up.
 */
internal object WarmUp {
    /** Runs up to [MAX_ROUNDS] rounds of the self-test and stops as soon as [isCalled] returns true. */
    suspend fun run(isCalled: () -> Boolean) {
        delay(START_DELAY_MILLISECONDS)
        if (isCalled()) return
        val problem = SelfTest(MAX_ROUNDS) { !isCalled() }.run()
        if (problem != null) Logger.warn { "warm-up failed: $problem" }
    }

    private const val START_DELAY_MILLISECONDS = 1_500L
    private const val MAX_ROUNDS = 250
}
