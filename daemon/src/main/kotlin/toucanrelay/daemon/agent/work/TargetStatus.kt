package toucanrelay.daemon.agent.work

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.admission.TargetState
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.TargetId
import toucanrelay.daemon.fleet.BundleRegister

/** Current status of the target; each property is set by the component that monitors it. */
internal class TargetStatus(
    private val agent: ProcessRun,
    private val target: TargetId,
    private val bundles: BundleRegister,
) {
    /** Models, adapters and services that are ready on the target. */
    @Volatile
    var loaded: PersistentSet<Pool> = persistentSetOf()

    /** Whether the engine's model list has been read, so that [loaded] is reliable. */
    @Volatile
    var hasModelList: Boolean = false

    /** Whether the process is shutting down. */
    @Volatile
    var isStopping: Boolean = false

    /** Whether the platform's list marks this instance as leaving. */
    @Volatile
    var isLeaving: Boolean = false

    /** Whether the target responds to polls. */
    @Volatile
    var isReachable: Boolean = true

    fun state(): TargetState = TargetState(agent, target, bundles.current.value, loaded, isStopping || isLeaving)
}
