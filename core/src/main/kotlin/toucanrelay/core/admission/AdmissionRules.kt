package toucanrelay.core.admission

import kotlinx.collections.immutable.PersistentSet
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.TargetId
import toucanrelay.core.refusal.RefusalReason

/**
 * What an agent knows about its target and itself.
 *
 * @property agent this run of the agent.
 * @property target the target beside it.
 * @property bundle the bundle in force; null while none is known.
 * @property loaded models, adapters and services that the target has ready.
 * @property isDraining whether the agent shuts down or its target leaves.
 */
public data class TargetState(
    public val agent: ProcessRun,
    public val target: TargetId,
    public val bundle: Bundle?,
    public val loaded: PersistentSet<Pool>,
    public val isDraining: Boolean,
) {
    /** Why no request may start now; null when the target is in service. */
    public val outOfService: RefusalReason?
        get() =
            when {
                isDraining -> RefusalReason.TARGET_LEAVING
                bundle == null -> RefusalReason.NO_BUNDLE
                target !in bundle.targets -> RefusalReason.MODEL_NOT_LOADED
                !bundle.isInService(target) -> RefusalReason.FAILURE_DOMAIN_OUT
                else -> null
            }

    /** Pools that the bundle assigns to the target and that it has ready. */
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
 * A request as an entry offers it.
 *
 * @property agent the run of the agent that the entry means.
 * @property pool what the request needs.
 * @property deadlineInMilliseconds time that its caller still waits.
 */
public data class OfferedRequest(
    public val agent: ProcessRun,
    public val pool: Pool,
    public val deadlineInMilliseconds: Long,
)

/** Why the agent does not take [request], whatever slots are free; null when it may. */
public fun TargetState.refusalOf(request: OfferedRequest): RefusalReason? =
    when {
        request.agent != agent -> RefusalReason.STALE_INCARNATION
        outOfService != null -> outOfService
        request.pool !in pools -> RefusalReason.MODEL_NOT_LOADED
        request.deadlineInMilliseconds <= 0 -> RefusalReason.DEADLINE_BEFORE_START
        else -> null
    }
