package toucanrelay.gateway.dispatch

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** An attempt that ended without answering its request. */
internal class UnansweredAttempt<A : HedgeableAttempt>(
    val attempt: A,
    val result: AttemptResult.Unanswered,
)

/** Creates further attempts at a request, and records how attempts end. */
internal interface HedgeSource<A : HedgeableAttempt> {
    /**
     * Creates an attempt at another target if the request may run there as well at once; returns null otherwise.
     *
     * The attempt calls [claim] before it passes on a part of the answer.
     */
    fun createHedge(claim: (A) -> Unit): A?

    /** Records that an attempt ended while others are in progress. */
    fun recordUnanswered(unanswered: UnansweredAttempt<A>)
}

/**
 * Runs the attempts of one request; confined to the event loop.
 *
 * While all its attempts are silent, the request is also sent to another target. A silent target may continue, so its
 * attempt ends only once another one has a part of the answer, or the request ends.
 */
internal class HedgedAttempts<A : HedgeableAttempt>(
    private val silenceDetector: SilenceDetector,
    private val source: HedgeSource<A>,
) {
    private class Ended<A : HedgeableAttempt>(
        val attempt: A,
        val result: AttemptResult,
    )

    /** The attempts in progress; the job of one is null until its first part has run. */
    private val running = LinkedHashMap<A, Job?>()
    private val ended = Channel<Ended<A>>(Channel.UNLIMITED)

    /** Runs attempts, beginning with that of [createFirst]; returns null once one has answered, or the last one. */
    suspend fun run(createFirst: (claim: (A) -> Unit) -> A): UnansweredAttempt<A>? =
        coroutineScope {
            start(this, createFirst(::cancelOthers))
            var last: UnansweredAttempt<A>? = null
            while (running.isNotEmpty()) {
                val next = ended.receive()
                running.remove(next.attempt)
                when (val result = next.result) {
                    AttemptResult.Answered -> {
                        cancelOthers(next.attempt)
                        return@coroutineScope null
                    }

                    is AttemptResult.Unanswered -> {
                        last = UnansweredAttempt(next.attempt, result)
                    }
                }
                if (running.isNotEmpty()) source.recordUnanswered(checkNotNull(last))
            }
            last
        }

    /** Starts [attempt] as a child of [scope], so that it does not end with the attempt that it hedges. */
    private fun start(scope: CoroutineScope, attempt: A) {
        running[attempt] = null
        val job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                ended.send(Ended(attempt, resultOf(attempt, scope)))
            }
        if (attempt in running) running[attempt] = job
    }

    /** Runs [attempt]; a cancellation that comes from within it ends all work on the request, as a failure does. */
    private suspend fun resultOf(attempt: A, scope: CoroutineScope): AttemptResult =
        try {
            silenceDetector.watch(attempt, { hedge(scope) }) { attempt.run() }
        } catch (cancelled: CancellationException) {
            currentCoroutineContext().ensureActive()
            scope.cancel(cancelled)
            throw cancelled
        }

    private fun hedge(scope: CoroutineScope) {
        if (!scope.isActive || !running.keys.all { silenceDetector.isSilent(it) }) return
        source.createHedge(::cancelOthers)?.let { start(scope, it) }
    }

    /** Cancels all attempts but [winner], which passes on the answer from now on. */
    private fun cancelOthers(winner: A) {
        val others = running.filterKeys { it !== winner }
        running.keys.removeAll(others.keys)
        others.values.forEach { it?.cancel() }
    }
}
