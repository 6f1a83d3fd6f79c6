package toucanrelay.gateway.dispatch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import toucanrelay.core.quarantine.PromptPartQuarantine
import toucanrelay.core.quarantine.TargetRun
import toucanrelay.core.target.TargetRegistry
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.target.TargetFailure

/**
 * Finds out whether a target crashed when it broke off requests before it wrote an answer; confined to the event loop.
 *
 * The instance of a crashed target refuses new connections at once, while a target that lost an answer accepts them. A
 * lost instance or network path does not respond, which proves no crash. A target that is leaving may end as well.
 */
internal class CrashDetector(
    private val scope: CoroutineScope,
    private val targets: TargetRegistry,
    private val quarantine: PromptPartQuarantine,
    private val log: EventLog,
) {
    private val unprovenRequests = HashMap<TargetRun, MutableList<CallerRequest>>()

    /** Records that the target of [reservation] broke off [request] before it had written an answer. */
    fun recordBrokenOff(request: CallerRequest, reservation: Reservation) {
        if (request.prompt == null) return
        val registration = reservation.registered.registration
        val run = TargetRun(registration.id, registration.incarnation, registration.address)
        val pending = unprovenRequests[run]
        if (pending != null) {
            pending += request
            return
        }
        unprovenRequests[run] = mutableListOf(request)
        scope.launch { investigate(run, reservation) }
    }

    private suspend fun investigate(run: TargetRun, reservation: Reservation) {
        val isCrashed = isServing(run) && isRefusingConnections(reservation)
        val requests = unprovenRequests.remove(run).orEmpty()
        if (!isCrashed) return
        val parts = requests.flatMap { it.sharedPartIds }.distinct()
        log.write(
            "target-crashed",
            "target" to run.target,
            "address" to run.address,
            "requests" to requests.joinToString(",") { it.id },
            "parts" to parts.joinToString(","),
        )
        quarantine.recordCrash(run, parts)
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
