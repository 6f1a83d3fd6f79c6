package toucanrelay.gateway.dispatch

import toucanrelay.core.allowance.StatedLimit
import toucanrelay.core.allowance.StatedLimits
import toucanrelay.core.backoff.TargetBackoffs
import toucanrelay.core.target.LeavingRun
import toucanrelay.core.target.LeavingStatements
import toucanrelay.gateway.target.Target
import toucanrelay.platform.TargetHeaders

/** Records what the answers of targets say of the targets themselves. */
internal class TargetStatements(
    private val limits: StatedLimits,
    private val leaving: LeavingStatements,
    private val backoffs: TargetBackoffs,
) {
    /** Records an answer of [target] with [headers] to a request sent at [sentAtMilliseconds]. */
    fun record(target: Target, headers: TargetHeaders, sentAtMilliseconds: Long) {
        // Comes from another target that has taken over the address.
        if (headers.isMisdirected) return
        if (headers.isLeaving) leaving.recordAnswer(LeavingRun(target.id, target.incarnation))
        backoffs.recordAnswer(target.id, target.incarnation, headers.requestedBackoff, sentAtMilliseconds)
        // Rejections need not repeat the limit.
        if (headers.isNotExecuted && headers.statedLimit == StatedLimit.None) return
        limits.recordAnswer(target.id, target.incarnation, headers.statedLimit, sentAtMilliseconds)
    }
}
