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
 * When a request ran on the target.
 *
 * @property milliseconds how long it ran.
 * @property era epoch of the admission limit in which it started.
 */
internal data class RunSample(
    val milliseconds: Long,
    val era: Int,
)

/**
 * The agent's decisions about its slots, put together; guarded by the lock of [WorkDesk].
 *
 * @param clock monotonic clock of this process.
 * @param policy order in which waiting requests get slots.
 */
internal class AgentTables(
    clock: Clock,
    policy: OrderingPolicy,
) {
    val limit = AdmissionLimit(AdmissionBounds(slots = 1, coldSlots = 1))
    val foreign = ForeignLoad(clock)
    val scheduler = GrantScheduler(clock, policy)
    val staging = StagingDepth(clock)
    val slots = SlotTable { effectiveLimit }
    val memory = DeduplicationWindow(clock)

    /** Requests that may run through this agent. */
    val effectiveLimit: Int
        get() = (limit.current - foreign.requests).coerceAtLeast(0)

    /** Places a request that came with the grant [grant], or with none. */
    fun place(
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

    /** Grants that are due now for [pools]. */
    fun dueGrants(pools: Set<Pool>): List<Grant> {
        val grants = mutableListOf<Grant>()
        while (slots.spare - scheduler.outstanding + staging.depth(effectiveLimit) > 0) {
            grants += scheduler.next(pools, staging.grantLifetimeMilliseconds) ?: break
        }
        return grants
    }

    /** Slots that entries may fill without a grant: none while requests wait or nothing is loaded. */
    fun freeSlots(pools: Set<Pool>): Int =
        if (pools.isEmpty() || scheduler.hasDemand(pools)) 0 else (slots.spare - scheduler.outstanding).coerceAtLeast(0)

    /** Draws from the [outcome] of the request that [sample] describes what the target bears. */
    fun learn(outcome: TargetOutcome, sample: RunSample, weights: ServiceWeights) {
        when (outcome) {
            is TargetOutcome.Whole -> learn(outcome, sample, weights)
            is TargetOutcome.NotRun -> if (outcome.reason in FAILURES_OF_THE_TARGET) limit.cut()
            is TargetOutcome.Lost -> if (outcome.reason in FAILURES_OF_THE_TARGET) limit.cut()
        }
    }

    private fun learn(outcome: TargetOutcome.Whole, sample: RunSample, weights: ServiceWeights) {
        if (outcome.status == OVERLOADED) limit.cut()
        if (outcome.status >= FIRST_ERROR) return
        val usage = outcome.usage
        val units = usage.promptTokens * weights.promptToken + usage.generatedTokens * weights.generatedToken
        limit.recordCompletion(sample.milliseconds / units.coerceAtLeast(1.0), slots.running, sample.era)
    }

    private companion object {
        const val OVERLOADED = 503
        const val FIRST_ERROR = 400
        val FAILURES_OF_THE_TARGET =
            setOf(
                RefusalReason.TARGET_REFUSED,
                RefusalReason.TARGET_UNREACHABLE,
                RefusalReason.ANSWER_LOST,
                RefusalReason.TARGET_FAILED,
            )
    }
}
