package toucanrelay.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import toucanrelay.core.retry.Backoff
import toucanrelay.core.time.Clock
import toucanrelay.gateway.log.EventLog
import kotlin.random.Random

/**
 * Keeps the tasks of a process going that have to run for as long as it does, whatever fails in them.
 *
 * Failures include errors such as a stack overflow: without its tasks a process would go on with outdated state.
 *
 * @param onFailure is called with the name of a task after each of its failures.
 */
internal class TaskSupervisor(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val log: EventLog,
    private val backoff: Backoff = Backoff(BASE_MILLISECONDS, CAP_MILLISECONDS),
    private val onFailure: (String) -> Unit,
) {
    /** Runs [task], and runs it again after a delay whenever it ends, until the scope is cancelled. */
    fun launch(name: String, task: suspend () -> Unit): Job =
        scope.launch {
            var failures = 0
            while (true) {
                val startedAt = clock.nowMilliseconds()
                val failure = failureOf(task)
                failures = if (clock.nowMilliseconds() - startedAt >= SOUND_RUN_MILLISECONDS) 1 else failures + 1
                report(name, failure)
                delay(MIN_DELAY_MILLISECONDS + backoff.delayMilliseconds(failures, Random.Default))
            }
        }

    /** Returns an action that runs [task] and reports its failure instead of passing it on. */
    fun guarded(name: String, task: () -> Unit): () -> Unit =
        {
            try {
                task()
            } catch (failure: Throwable) {
                report(name, failure)
            }
        }

    /** Runs [task] and returns why it ended; null if it returned. */
    private suspend fun failureOf(task: suspend () -> Unit): Throwable? =
        try {
            task()
            null
        } catch (cancelled: CancellationException) {
            // A task that was not cancelled itself ends so when something that it waits for is.
            currentCoroutineContext().ensureActive()
            cancelled
        } catch (failure: Throwable) {
            failure
        }

    private fun report(name: String, failure: Throwable?) {
        onFailure(name)
        log.write(
            "task-failed",
            "task" to name,
            "detail" to (failure?.toString() ?: "ended").take(MAX_DETAIL_CHARACTERS),
            "at" to failure?.stackTrace?.firstOrNull(),
        )
    }

    private companion object {
        const val BASE_MILLISECONDS = 200L
        const val CAP_MILLISECONDS = 3_000L

        /** Keeps a task that fails at once from occupying the event loop. */
        const val MIN_DELAY_MILLISECONDS = 50L

        /** A task that ran this long before it failed is started again as soon as after its first failure. */
        const val SOUND_RUN_MILLISECONDS = 10_000L
        const val MAX_DETAIL_CHARACTERS = 200
    }
}
