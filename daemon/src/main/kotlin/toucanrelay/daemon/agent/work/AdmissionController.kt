package toucanrelay.daemon.agent.work

import toucanrelay.core.admission.AdmissionBounds
import toucanrelay.core.admission.AdmissionDecision
import toucanrelay.core.admission.AdmissionLimit
import toucanrelay.core.admission.DeduplicationWindow
import toucanrelay.core.admission.ForeignLoad
import toucanrelay.core.admission.SlotTable
import toucanrelay.core.bundle.ServiceWeights
import toucanrelay.core.grant.Grant
import toucanrelay.core.grant.GrantId
import toucanrelay.core.grant.GrantScheduler
import toucanrelay.core.grant.OrderingPolicy
import toucanrelay.core.grant.StagingDepth
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.time.Clock
import toucanrelay.daemon.agent.target.TargetOutcome

/**
 * Measured run of a request on the target.
 *
 * @property milliseconds duration of the run.
 * @property epoch epoch of the admission limit in which the run started.
 */
internal data class RunSample(
    val milliseconds: Long,
    val epoch: Int,
)

/**
 * Combines the admission limit, the grants, the slots and the deduplication of one target.
 *
 * Not thread-safe: guarded by the lock of [RequestExecutor].
 *
 * @param clock monotonic clock of this process.
 * @param policy order in which waiting requests get slots.
 */
internal class AdmissionController(
    clock: Clock,
    policy: OrderingPolicy,
) {
    val limit = AdmissionLimit(AdmissionBounds(slots = 1, coldSlots = 1))
    val foreignLoad = ForeignLoad(clock)
    val scheduler = GrantScheduler(clock, policy)
    val staging = StagingDepth(clock)
    val slots = SlotTable { effectiveLimit }
    val deduplication = DeduplicationWindow(clock)

    /** Maximum number of requests that may run concurrently through this agent. */
    val effectiveLimit: Int
        get() = (limit.current - foreignLoad.requests).coerceAtLeast(0)

    /** Starts, stages or rejects [request]; a [grant] of zero means that it came without a grant. */
    fun admit(
        request: RequestId,
        grant: GrantId,
        pool: Pool,
        organisation: OrganisationId,
    ): AdmissionDecision {
        val roundTrip = if (grant.value == 0L) null else scheduler.consume(grant, pool, organisation)
        if (roundTrip == null) return slots.place(request, reserved = scheduler.outstanding, stagingDepth = 0)
        staging.recordRoundTrip(roundTrip)
        return slots.place(request, reserved = 0, stagingDepth = maxOf(limit.bounds.slots, slots.staged + 1))
    }

    /** Issues the grants that are due now for [pools]. */
    fun dueGrants(pools: Set<Pool>): List<Grant> {
        val grants = mutableListOf<Grant>()
        while (slots.spare - scheduler.outstanding + staging.depth(effectiveLimit) > 0) {
            grants += scheduler.grantNext(pools, staging.grantLifetimeMilliseconds) ?: break
        }
        return grants
    }

    /** Returns the slots that entries may use without a grant: none while requests wait or nothing is loaded. */
    fun freeSlots(pools: Set<Pool>): Int =
        if (pools.isEmpty() || scheduler.hasDemand(pools)) 0 else (slots.spare - scheduler.outstanding).coerceAtLeast(0)

    /** Adjusts the admission limit according to the [outcome] of the request that [sample] describes. */
    fun recordOutcome(outcome: TargetOutcome, sample: RunSample, weights: ServiceWeights) {
        when (outcome) {
            is TargetOutcome.Completed -> recordOutcome(outcome, sample, weights)
            is TargetOutcome.NotExecuted -> if (outcome.reason in TARGET_FAILURES) limit.cut()
            is TargetOutcome.PossiblyExecuted -> if (outcome.reason in TARGET_FAILURES) limit.cut()
        }
    }

    private fun recordOutcome(outcome: TargetOutcome.Completed, sample: RunSample, weights: ServiceWeights) {
        if (outcome.status == SERVICE_UNAVAILABLE) limit.cut()
        if (outcome.status >= FIRST_ERROR_STATUS) return
        val usage = outcome.usage
        val units = usage.promptTokens * weights.promptToken + usage.generatedTokens * weights.generatedToken
        limit.recordCompletion(sample.milliseconds / units.coerceAtLeast(1.0), slots.running, sample.epoch)
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val FIRST_ERROR_STATUS = 400
        val TARGET_FAILURES =
            setOf(
                RefusalReason.TARGET_REFUSED,
                RefusalReason.TARGET_UNREACHABLE,
                RefusalReason.ANSWER_LOST,
                RefusalReason.TARGET_FAILED,
            )
    }
}
