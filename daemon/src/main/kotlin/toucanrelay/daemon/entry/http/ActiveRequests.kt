package toucanrelay.daemon.entry.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import java.util.concurrent.ConcurrentHashMap

/** Cancels a request because the process reached its shutdown limit. */
internal class ShutdownLimitException : CancellationException("shutdown limit reached")

/** Cancels a request because its caller closed the connection. */
internal class CallerGoneException : CancellationException("caller closed the connection")

/** Tracks the active requests, so that shutdown can wait for them and cancel those left at its limit. */
internal class ActiveRequests {
    private val jobs = ConcurrentHashMap.newKeySet<Job>()
    private val activeCount =
        java.util.concurrent.atomic
            .AtomicInteger()

    /** Number of requests that are being handled, from their headers to the end of the answer. */
    val count: Int
        get() = activeCount.get()

    fun recordStart() {
        activeCount.incrementAndGet()
    }

    fun recordEnd() {
        activeCount.decrementAndGet()
    }

    fun add(job: Job) {
        jobs.add(job)
        job.invokeOnCompletion { jobs.remove(job) }
    }

    /** Cancels all requests that run or wait for a target, and returns their number. */
    fun cancelAll(): Int {
        val remaining = jobs.toList()
        remaining.forEach { it.cancel(ShutdownLimitException()) }
        return remaining.size
    }
}
