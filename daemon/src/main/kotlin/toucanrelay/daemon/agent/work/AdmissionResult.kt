package toucanrelay.daemon.agent.work

import toucanrelay.core.refusal.RefusalReason

/** Result of [RequestExecutor.admit]. */
internal sealed interface AdmissionResult {
    /** The request is not sent to the target. */
    data class Refused(
        val reason: RefusalReason,
        val detail: String,
    ) : AdmissionResult

    /** The request runs, or waits for the next slot if [isStaged]. */
    class Admitted(
        val run: RequestRun,
        val isStaged: Boolean,
    ) : AdmissionResult
}
