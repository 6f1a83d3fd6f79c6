package toucanrelay.gateway.dispatch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import toucanrelay.core.quarantine.CrashQuarantine
import toucanrelay.core.quarantine.Suspect
import toucanrelay.core.quarantine.TargetRun
import toucanrelay.core.target.TargetRegistry
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.target.TargetFailure

/**
 * Finds out whether a target crashed when it broke off requests; confined to the event loop.
 *
 * The instance of a crashed target refuses new connections at once, while a target that lost an answer accepts them. A
 * lost instance or network path does not respond, which proves no crash. A target that is leaving may end as well.
 */
internal class CrashDetector(
    private val scope: CoroutineScope,
    private val targets: TargetRegistry,
    private val quarantine: CrashQuarantine,
    private val log: EventLog,
) {
    private val unprovenBreaks = HashMap<TargetRun, MutableList<BrokenOffRequest>>()

    private class BrokenOffRequest(
        val request: CallerRequest,
        val breakPoint: BreakPoint,
    ) {
        /** A part whose prompt is being answered is no cause, while a request may crash its target at any time. */
        val suspects: List<Suspect>
            get() =
                when (breakPoint) {
                    BreakPoint.BEFORE_ANSWER -> request.suspects
                    BreakPoint.WITHIN_ANSWER -> listOf(request.suspectRequest)
                }
    }

    /** Records that the target of [reservation] broke off its answer to [request] at [breakPoint]. */
    fun recordBrokenOff(request: CallerRequest, reservation: Reservation, breakPoint: BreakPoint) {
        val registration = reservation.registered.registration
        val run = TargetRun(registration.id, registration.incarnation, registration.address)
        val broken = BrokenOffRequest(request, breakPoint)
        val pending = unprovenBreaks[run]
        if (pending != null) {
            pending += broken
            return
        }
        unprovenBreaks[run] = mutableListOf(broken)
        scope.launch { investigate(run, reservation) }
    }

    private suspend fun investigate(run: TargetRun, reservation: Reservation) {
        val isCrashed = isServing(run) && isRefusingConnections(reservation)
        val broken = unprovenBreaks.remove(run).orEmpty()
        if (!isCrashed) return
        val suspects = broken.flatMap { it.suspects }.distinct()
        log.write(
            "target-crashed",
            "target" to run.target,
            "address" to run.address,
            "requests" to broken.joinToString(",") { it.request.id },
            "suspects" to suspects.joinToString(","),
        )
        quarantine.recordCrash(run, suspects)
    }

    private fun isServing(run: TargetRun): Boolean = targets.find(run.target)?.isLeaving == false

    private suspend fun isRefusingConnections(reservation: Reservation): Boolean =
        try {
            reservation.target.connections.open()
            false
        } catch (failure: TargetFailure.NotSent) {
            failure.isRefused
        }
}
