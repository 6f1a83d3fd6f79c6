package toucanrelay.daemon.agent.work

import kotlinx.coroutines.Job
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.wire.ServeRequest

/**
 * One admitted request and its answer.
 *
 * @property deadlineAtMilliseconds when its caller stops waiting, by the clock of this process.
 */
internal class Run(
    val request: ServeRequest,
    val answer: AnswerBuffer,
    val deadlineAtMilliseconds: Long,
) {
    val id = RequestId(request.requestId)
    val pool = request.pool
    val organisation = OrganisationId(request.organisation)

    /** When it was sent to the target; null before. */
    @Volatile
    var startedAtMilliseconds: Long? = null

    /** Era of the admission limit in which it was sent. */
    @Volatile
    var startedInEra: Int = 0

    /** When its slot came free again. */
    @Volatile
    var endedAtMilliseconds: Long? = null

    /** Why the work on it was ended; null when it was not. */
    @Volatile
    var cutReason: RefusalReason? = null

    /** The work on it; null while it is staged. */
    @Volatile
    var job: Job? = null
}

/** What the request needs. */
internal val ServeRequest.pool: Pool
    get() = if (hasService()) Pool.ofService(service.service) else Pool.ofModel(model.model, model.adapter)
