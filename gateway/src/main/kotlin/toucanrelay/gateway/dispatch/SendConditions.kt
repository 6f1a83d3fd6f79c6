package toucanrelay.gateway.dispatch

import toucanrelay.core.quarantine.Suspect
import toucanrelay.core.shutdown.DrainPolicy
import toucanrelay.core.shutdown.DrainingRequest
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.Refusal

/** Decides whether [request] may be sent to any target now, whatever the targets are. */
internal class SendConditions(
    private val dependencies: RunnerDependencies,
    private val request: CallerRequest,
    private val progress: RequestProgress,
) {
    /** Returns why the request must not be sent to a target now, or null if it may be sent. */
    fun refusal(): Refusal? {
        quarantinedSuspect()?.let {
            progress.detail = describeQuarantine(it)
            return Refusal.QUARANTINED
        }
        if (!dependencies.intake.isKeyCurrent(request.organisation)) return Refusal.STALE_CONFIGURATION
        return Refusal.SHUTTING_DOWN.takeIf { wouldBeCutOff() }
    }

    /** Returns whether the process will probably end before the answer to the request, which has not run so far. */
    private fun wouldBeCutOff(): Boolean {
        val untilEnd = dependencies.shutdown.remainingMilliseconds ?: return false
        if (progress.mayHaveRun) return false
        val draining =
            DrainingRequest(
                request.deadlineAtMilliseconds - dependencies.clock.nowMilliseconds(),
                dependencies.routeDurations.timesOf(request.route),
                request.route.latencyObjectiveMilliseconds,
                request.route.mayRunAgain,
            )
        return !DrainPolicy.maySend(draining, untilEnd)
    }

    private fun quarantinedSuspect(): Suspect? =
        if (dependencies.quarantine.hasEvidence) dependencies.quarantine.quarantined(request.suspects) else null

    private fun describeQuarantine(suspect: Suspect): String {
        val crashed =
            dependencies.quarantine
                .evidenceOn(suspect)
                .unrefutedCrashes.keys
        return "$suspect crashed ${crashed.joinToString { it.target.value }}"
    }
}
