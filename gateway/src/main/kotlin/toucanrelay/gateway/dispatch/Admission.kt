package toucanrelay.gateway.dispatch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import io.vertx.core.Vertx
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.overload.PlacementPass
import toucanrelay.core.time.Clock
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.Refusal

/**
 * Queues requests for a short time while no target can accept them; confined to the event loop.
 *
 * Requests that were already placed once or resume a stream come first, then those of the organisation with the lowest served rate. Within
 * an organisation, more urgent requests come first, then those that the caller retries after a refusal.
 */
internal class Admission(
    private val vertx: Vertx,
    private val clock: Clock,
    private val placer: Placer,
    private val shares: FairShares,
) {
    private class Waiter(
        val query: PlacementQuery,
    ) {
        val request: CallerRequest = query.request
        val settled = CompletableDeferred<Unit>()

        /** Number of times that the request was tried on the targets. */
        var tries = 0

        /** A reservation, or the refusal if no target is left; null while the request waits. */
        var result: Result<Reservation, Unplaced>? = null

        /** Releases a reservation that was made just as the wait ended. */
        fun abandon() {
            result?.onSuccess { it.release() }
        }
    }

    private val waiters = LinkedHashSet<Waiter>()
    private var isDrainScheduled = false

    /** Number of waiting requests. */
    val waiting: Int
        get() = waiters.size

    /** Places the request of [query] on a target, waiting if all are busy; else returns why not. */
    suspend fun place(query: PlacementQuery): Result<Reservation, Unplaced> {
        val waiter = Waiter(query)
        if (!isPrecededByWaiters(waiter)) {
            when (val result = tryToPlace(waiter)) {
                is PlacementResult.Placed -> return Ok(result.reservation)
                is PlacementResult.BackingOff -> unplacedByBackoff(waiter, result)?.let { return Err(it) }
                PlacementResult.NoTarget -> return Err(Unplaced(Refusal.NO_TARGET))
                PlacementResult.Busy -> Unit
            }
        }
        return if (isServableInTime(waiter)) await(waiter) else Err(overloaded(waiter))
    }

    /** Places the request of [query] on a target without waiting; returns null if that is not possible. */
    fun placeAtOnce(query: PlacementQuery): Reservation? {
        if (isPrecededByWaiters(Waiter(query))) return null
        return (placer.place(query, ::wake) as? PlacementResult.Placed)?.reservation
    }

    /**
     * Returns whether waiting requests come before that of [waiter].
     *
     * Where the rate of requests is limited, one that arrives at the right moment must not overtake them.
     */
    private fun isPrecededByWaiters(waiter: Waiter): Boolean =
        waiters.isNotEmpty() && placer.isPaced(waiter.query) && waiters.any { precedes(it, waiter) }

    /** Returns whether the request of [waiter] can be sent within its maximum wait, as far as limited rates tell. */
    private fun isServableInTime(waiter: Waiter): Boolean {
        val capacity = placer.pacedCapacity(waiter.query) ?: return true
        val ahead = waiters.count { precedes(it, waiter) }
        return capacity.waitMilliseconds(ahead) <= maxWaitMilliseconds(waiter)
    }

    /** Returns why the request of [waiter] cannot wait for the end of [backoff], or null if it can. */
    private fun unplacedByBackoff(waiter: Waiter, backoff: PlacementResult.BackingOff): Unplaced? {
        val untilDeadline = waiter.request.deadlineAtMilliseconds - clock.nowMilliseconds()
        val canWait = backoff.milliseconds <= minOf(maxWaitMilliseconds(waiter), untilDeadline)
        return if (canWait) null else Unplaced(Refusal.BACKING_OFF, backoff.milliseconds)
    }

    private fun precedes(first: Waiter, second: Waiter): Boolean =
        first.request.service.name == second.request.service.name && order.compare(first, second) < 0

    /** Schedules an attempt to place the waiting requests; to be called when targets came, went or freed capacity. */
    fun wake() {
        if (isDrainScheduled || waiters.isEmpty()) return
        isDrainScheduled = true
        vertx.setTimer(DRAIN_DELAY_MILLISECONDS) {
            isDrainScheduled = false
            drain()
        }
    }

    private suspend fun await(waiter: Waiter): Result<Reservation, Unplaced> {
        waiters.add(waiter)
        // A back-off or a limited rate ends by the clock alone.
        wake()
        var isInTime = false
        try {
            isInTime = withTimeoutOrNull(maxWaitMilliseconds(waiter)) { waiter.settled.await() } != null
        } finally {
            waiters.remove(waiter)
            if (!isInTime) waiter.abandon()
        }
        return if (isInTime) checkNotNull(waiter.result) else Err(overloaded(waiter))
    }

    private fun overloaded(waiter: Waiter) = Unplaced(Refusal.OVERLOADED, tries = waiter.tries)

    private fun tryToPlace(waiter: Waiter): PlacementResult {
        waiter.tries++
        return placer.place(waiter.query, ::wake)
    }

    private fun drain() {
        val settled =
            PlacementPass.run(waiters.sortedWith(order), { it.request.account }) { waiter ->
                waiter.result = resultOf(waiter, tryToPlace(waiter))
                waiter.result != null
            }
        waiters.removeAll(settled.toSet())
        settled.forEach { it.settled.complete(Unit) }
        if (waiters.isNotEmpty()) wake()
    }

    /** Returns how the wait of [waiter] ends, or null: it goes on, for an interrupted request even without targets. */
    private fun resultOf(waiter: Waiter, placement: PlacementResult): Result<Reservation, Unplaced>? =
        when (placement) {
            is PlacementResult.Placed -> Ok(placement.reservation)
            is PlacementResult.BackingOff -> unplacedByBackoff(waiter, placement)?.let { Err(it) }
            PlacementResult.NoTarget -> if (waiter.query.excluded.isEmpty()) Err(Unplaced(Refusal.NO_TARGET)) else null
            PlacementResult.Busy -> null
        }

    private val order: Comparator<Waiter> =
        compareBy<Waiter> { !it.query.isInterrupted }
            .thenBy { shares.servedPerSecond(it.request.account) }
            .thenBy { it.request.rank }
            .thenBy { !it.request.isCallerRetry }
            .thenBy { it.request.arrivedAtMilliseconds }

    private fun maxWaitMilliseconds(waiter: Waiter): Long {
        val request = waiter.request
        val objective = request.route.latencyObjectiveMilliseconds
        if (waiter.query.isInterrupted) return (objective * WAIT_FRACTION_INTERRUPTED).toLong()
        val fraction = if (request.isCallerRetry) WAIT_FRACTION_CALLER_RETRY else WAIT_FRACTION_NEW
        val waited = clock.nowMilliseconds() - request.arrivedAtMilliseconds
        val remaining = request.deadlineAtMilliseconds - clock.nowMilliseconds()
        return minOf((objective * fraction).toLong() - waited, remaining).coerceAtLeast(1)
    }

    private companion object {
        const val DRAIN_DELAY_MILLISECONDS = 20L
        const val WAIT_FRACTION_NEW = 0.35
        const val WAIT_FRACTION_CALLER_RETRY = 0.8
        const val WAIT_FRACTION_INTERRUPTED = 1.5
    }
}
