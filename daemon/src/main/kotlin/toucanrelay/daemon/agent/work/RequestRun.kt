package toucanrelay.daemon.agent.work

import kotlinx.coroutines.Job
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.wire.ServeRequest

/**
 * Execution state of one admitted request.
 *
 * @property deadlineAtMilliseconds deadline of the request, by the monotonic clock of this process.
 */
internal class RequestRun(
    val request: ServeRequest,
    val answer: AnswerBuffer,
    val deadlineAtMilliseconds: Long,
) {
    val id = RequestId(request.requestId)
    val pool = request.pool
    val organisation = OrganisationId(request.organisation)

    /** Time at which the request was sent to the target; null before. */
    @Volatile
    var startedAtMilliseconds: Long? = null

    /** Epoch of the admission limit in which the request was sent. */
    @Volatile
    var startedInEpoch: Int = 0

    /** Time at which the request released its slot; null before. */
    @Volatile
    var endedAtMilliseconds: Long? = null

    /** Reason for which the request was aborted; null if it was not. */
    @Volatile
    var abortReason: RefusalReason? = null

    /** Job that executes the request; null while it is staged. */
    @Volatile
    var job: Job? = null
}

/** The pool that the request needs. */
internal val ServeRequest.pool: Pool
    get() = if (hasService()) Pool.ofService(service.service) else Pool.ofModel(model.model, model.adapter)
