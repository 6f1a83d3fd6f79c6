package toucanrelay.daemon.agent.work

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.admission.TargetState
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.TargetId
import toucanrelay.daemon.fleet.BundleRegister

/** What the agent knows about its target now; each part is set by the one that watches it. */
internal class TargetStatus(
    private val agent: ProcessRun,
    private val target: TargetId,
    private val bundles: BundleRegister,
) {
    /** Models, adapters and services that the target has ready. */
    @Volatile
    var loaded: PersistentSet<Pool> = persistentSetOf()

    /** Whether the list of models was read, so that [loaded] can be relied on. */
    @Volatile
    var hasModelList: Boolean = false

    /** Whether the process was told to stop. */
    @Volatile
    var isStopping: Boolean = false

    /** Whether the platform's list says that the target or this instance leaves. */
    @Volatile
    var isLeaving: Boolean = false

    /** Whether the target answers at all. */
    @Volatile
    var isReachable: Boolean = true

    fun state(): TargetState = TargetState(agent, target, bundles.current.value, loaded, isStopping || isLeaving)
}
