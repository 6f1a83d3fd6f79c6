package toucanrelay.gateway.log

import toucanrelay.core.backoff.TargetBackoffObserver
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.LeavingRun
import toucanrelay.core.target.LeavingSource
import toucanrelay.gateway.GatewayMeters

/** Logs and counts that targets say in their answers that they are leaving or want no requests for a while. */
internal class TargetStatementLog(
    private val log: EventLog,
    private val meters: GatewayMeters,
) : TargetBackoffObserver {
    /** Records that [run] is leaving, as this process has learnt from [source]. */
    fun onLeaving(run: LeavingRun, source: LeavingSource) {
        meters.leavingTargets(source).increment()
        log.write(
            "target-leaving",
            "target" to run.target,
            "incarnation" to run.incarnation,
            "source" to source.name.lowercase(),
        )
    }

    override fun onBackoff(target: TargetId, milliseconds: Long, requestedMilliseconds: Long) {
        meters.targetBackoffs.increment()
        log.write(
            "target-backoff",
            "target" to target,
            "forMs" to milliseconds,
            "requestedMs" to requestedMilliseconds,
        )
    }

    override fun onUnreadable(target: TargetId, text: String) {
        log.write("target-backoff-unreadable", "target" to target, "text" to text)
    }
}
