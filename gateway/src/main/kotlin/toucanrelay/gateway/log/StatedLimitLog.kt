package toucanrelay.gateway.log

import toucanrelay.core.allowance.StatedLimitObserver
import toucanrelay.core.identity.TargetId

/** Logs the limits that targets state. */
internal class StatedLimitLog(
    private val log: EventLog,
) : StatedLimitObserver {
    override fun onChange(target: TargetId, requestsPerSecond: Double?) {
        val event = if (requestsPerSecond == null) "target-limit-ended" else "target-limit"
        log.write(event, "target" to target, "requestsPerSecond" to requestsPerSecond)
    }

    override fun onUnreadable(target: TargetId, text: String) {
        log.write("target-limit-unreadable", "target" to target, "text" to text)
    }
}
