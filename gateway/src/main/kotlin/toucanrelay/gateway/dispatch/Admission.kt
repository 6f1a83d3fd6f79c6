package toucanrelay.gateway.dispatch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Vertx
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.Clock
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.Refusal

/**
 * Lets requests wait for a target for a short while; confined to the event loop.
 *
 * Who waits is served in the order of what its organisation has got lately, callers that come back after a refusal
 * before others of the organisation.
 */
internal class Admission(
    private val vertx: Vertx,
    private val clock: Clock,
    private val placer: Placer,
    private val shares: FairShares,
) {
    private class Waiter(
        val request: CallerRequest,
        val excluded: Set<TargetId>,
    ) {
        val isPlaced = CompletableDeferred<Unit>()
        var ticket: Ticket? = null

        /** Gives back a ticket that came in the moment in which the request gave up. */
        fun abandon() {
            ticket?.release()
        }
    }

    private val waiters = LinkedHashSet<Waiter>()
    private var isDrainScheduled = false

    /** Requests that wait now. */
    val waiting: Int
        get() = waiters.size

    /** Finds a target for [request] that is not in [excluded], or tells why there is none. */
    suspend fun place(request: CallerRequest, excluded: Set<TargetId>): Result<Ticket, Refusal> {
        when (val result = placer.place(request, excluded, ::wake)) {
            is PlacingResult.Placed -> return Ok(result.ticket)
            PlacingResult.NoTarget -> return Err(Refusal.NO_TARGET)
            PlacingResult.Busy -> Unit
        }
        return await(Waiter(request, excluded))
    }

    /** Tries to place those who wait, soon; called when a target has room again. */
    fun wake() {
        if (isDrainScheduled || waiters.isEmpty()) return
        isDrainScheduled = true
        vertx.setTimer(DRAIN_DELAY_MILLISECONDS) {
            isDrainScheduled = false
            drain()
        }
    }

    private suspend fun await(waiter: Waiter): Result<Ticket, Refusal> {
        waiters.add(waiter)
        var isInTime = false
        try {
            isInTime = withTimeoutOrNull(longestWait(waiter)) { waiter.isPlaced.await() } != null
        } finally {
            waiters.remove(waiter)
            if (!isInTime) waiter.abandon()
        }
        return if (isInTime) Ok(checkNotNull(waiter.ticket)) else Err(Refusal.OVERLOADED)
    }

    private fun drain() {
        waiters.sortedWith(order.thenBy { it.request.arrivedAtMilliseconds }).forEach { waiter ->
            val result = placer.place(waiter.request, waiter.excluded, ::wake)
            if (result is PlacingResult.Placed) {
                waiters.remove(waiter)
                waiter.ticket = result.ticket
                waiter.isPlaced.complete(Unit)
            }
        }
        if (waiters.isNotEmpty()) wake()
    }

    private val order: Comparator<Waiter> =
        compareBy<Waiter> { it.excluded.isEmpty() }
            .thenBy { shares.servedPerSecond(it.request.account) }
            .thenBy { it.request.rank }
            .thenBy { !it.request.isCallerRetry }

    private fun longestWait(waiter: Waiter): Long {
        val request = waiter.request
        val objective = request.route.latencyObjectiveMilliseconds
        if (waiter.excluded.isNotEmpty()) return (objective * WAIT_OF_BEGUN).toLong()
        val part = if (request.isCallerRetry) WAIT_OF_RETURNED else WAIT_OF_NEW
        val waited = clock.nowMilliseconds() - request.arrivedAtMilliseconds
        val left = request.deadlineAtMilliseconds - clock.nowMilliseconds()
        return minOf((objective * part).toLong() - waited, left).coerceAtLeast(1)
    }

    private companion object {
        const val DRAIN_DELAY_MILLISECONDS = 20L
        const val WAIT_OF_NEW = 0.35
        const val WAIT_OF_RETURNED = 0.8
        const val WAIT_OF_BEGUN = 1.5
    }
}
