package toucanrelay.core.queue

/** When a demand report is to be sent. */
public sealed interface DemandDue {
    /** Not at all, as nothing changed. */
    public data object Never : DemandDue

    /** Immediately, as the agent needs it to grant slots. */
    public data object AtOnce : DemandDue

    /**
     * After the rest of the refresh interval, if the budget for control traffic allows it.
     *
     * @property milliseconds remaining time; 0 when the report is due now.
     */
    public data class Refresh(
        public val milliseconds: Long,
    ) : DemandDue
}

/**
 * Decides when to send the next demand report on one link, to limit control traffic.
 *
 * A report is due immediately if it adds or removes a pool, or if the agent has granted slots to all requests of the
 * last report. Any other change can wait for the refresh interval: the agent still has requests to grant slots to and
 * counts its own grants, and a grant for an organisation that has no more requests is declined.
 *
 * @param refreshMilliseconds minimum time between reports that only refresh figures.
 */
public class DemandPacer(
    private val refreshMilliseconds: Long,
) {
    private var lastReport = DemandReport()
    private var sentAtMilliseconds: Long? = null
    private var grants = 0

    /** Returns when [report] is due. */
    public fun due(report: DemandReport, nowMilliseconds: Long): DemandDue {
        val sentAt = sentAtMilliseconds
        return when {
            report == lastReport && grants == 0 -> DemandDue.Never
            sentAt == null || !report.hasSamePools(lastReport) || grants >= lastReport.waiting -> DemandDue.AtOnce
            else -> DemandDue.Refresh((sentAt + refreshMilliseconds - nowMilliseconds).coerceAtLeast(0))
        }
    }

    /** Records that [report] was sent. */
    public fun recordSent(report: DemandReport, nowMilliseconds: Long) {
        lastReport = report
        sentAtMilliseconds = nowMilliseconds
        grants = 0
    }

    /** Records that the agent granted a slot to one of the reported requests. */
    public fun recordGrant() {
        grants += 1
    }

    /** Resets the state for a new connection. */
    public fun reset() {
        lastReport = DemandReport()
        sentAtMilliseconds = null
        grants = 0
    }
}
