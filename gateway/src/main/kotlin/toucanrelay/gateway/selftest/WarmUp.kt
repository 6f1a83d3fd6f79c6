package toucanrelay.gateway.selftest

import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger

/**
 * Runs the self-test while a new process has nothing to do, so that its code is compiled when callers come.
 *
 * On a quarter of a core, code that is not compiled yet makes the first thousands of requests late. A process that is
 * called at once, as after a restart under load, skips it.
 */
internal object WarmUp {
    /** Runs rounds of the self-test until [isCalled], at most [ROUNDS]. */
    suspend fun run(isCalled: () -> Boolean) {
        delay(IDLE_MILLISECONDS)
        if (isCalled()) return
        val problem = SelfTest(ROUNDS) { !isCalled() }.run()
        if (problem != null) Logger.warn { "warm-up ended early: $problem" }
    }

    private const val IDLE_MILLISECONDS = 1_500L
    private const val ROUNDS = 250
}
