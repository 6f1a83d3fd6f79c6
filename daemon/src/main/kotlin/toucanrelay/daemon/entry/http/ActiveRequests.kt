package toucanrelay.daemon.entry.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import java.util.concurrent.ConcurrentHashMap

/** The process reached its shutdown limit. */
internal class CutException : CancellationException("shutdown limit reached")

/** The caller closed its connection. */
internal class CallerGoneException : CancellationException("caller gone")

/** The requests that are in hand, so that shutdown can wait for them and cut what is left. */
internal class ActiveRequests {
    private val jobs = ConcurrentHashMap.newKeySet<Job>()
    private val handling =
        java.util.concurrent.atomic
            .AtomicInteger()

    /** Requests that callers wait for, from their first byte to the end of the answer. */
    val count: Int
        get() = handling.get()

    fun entered() {
        handling.incrementAndGet()
    }

    fun left() {
        handling.decrementAndGet()
    }

    fun add(job: Job) {
        jobs.add(job)
        job.invokeOnCompletion { jobs.remove(job) }
    }

    /** Cuts all that run or wait and returns how many that were. */
    fun cut(): Int {
        val left = jobs.toList()
        left.forEach { it.cancel(CutException()) }
        return left.size
    }
}
