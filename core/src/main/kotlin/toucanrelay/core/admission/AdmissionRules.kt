package toucanrelay.core.admission

import kotlinx.collections.immutable.PersistentSet
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.TargetId
import toucanrelay.core.refusal.RefusalReason

/**
 * The state of an agent and its target that admission depends on.
 *
 * @property agent this run of the agent.
 * @property target the target that the agent serves.
 * @property bundle the bundle in force; null while none is known.
 * @property loaded models, adapters and services that are ready on the target.
 * @property isDraining whether the agent is shutting down or its target is leaving.
 */
public data class TargetState(
    public val agent: ProcessRun,
    public val target: TargetId,
    public val bundle: Bundle?,
    public val loaded: PersistentSet<Pool>,
    public val isDraining: Boolean,
) {
    /** The reason why no request can start now; null when the target is in service. */
    public val outOfServiceReason: RefusalReason?
        get() =
            when {
                isDraining -> RefusalReason.TARGET_LEAVING
                bundle == null -> RefusalReason.NO_BUNDLE
                target !in bundle.targets -> RefusalReason.MODEL_NOT_LOADED
                !bundle.isInService(target) -> RefusalReason.FAILURE_DOMAIN_OUT
                else -> null
            }

    /** Pools that are both assigned to the target by the bundle and loaded. */
    public val pools: Set<Pool>
        get() =
            bundle
                ?.targets
                ?.get(target)
                ?.pools
                ?.filterTo(mutableSetOf()) { it in loaded }
                .orEmpty()
}

/**
 * A request that an entry sends to an agent.
 *
 * @property agent the run of the agent to which the entry addressed it.
 * @property pool the pool that the request needs.
 * @property deadlineInMilliseconds time left until the request's deadline.
 */
public data class OfferedRequest(
    public val agent: ProcessRun,
    public val pool: Pool,
    public val deadlineInMilliseconds: Long,
)

/** Returns the reason to refuse [request] regardless of free slots; null when it can be admitted. */
public fun TargetState.refusalOf(request: OfferedRequest): RefusalReason? =
    when {
        request.agent != agent -> RefusalReason.STALE_INCARNATION
        outOfServiceReason != null -> outOfServiceReason
        request.pool !in pools -> RefusalReason.MODEL_NOT_LOADED
        request.deadlineInMilliseconds <= 0 -> RefusalReason.DEADLINE_BEFORE_START
        else -> null
    }
