package toucanrelay.store.instances

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.store.PlatformError

/** What a process does. */
public enum class InstanceRole {
    /** Faces callers. */
    ENTRY,

    /** Runs in the slot beside one target. */
    AGENT,
}

/** Whether the platform keeps an instance. */
public enum class InstanceState {
    /** The instance runs. */
    LIVE,

    /** The instance is going to stop. */
    LEAVING,
}

/**
 * One instance on the platform's list.
 *
 * @property target the target beside an agent; null for an entry.
 * @property host IP number of the process's link port.
 * @property port the process's link port.
 * @property operatorsPort the process's operators' port; null when the platform's list does not state it.
 */
public data class InstanceRecord(
    public val instance: InstanceId,
    public val role: InstanceRole,
    public val state: InstanceState,
    public val region: RegionId,
    public val failureDomain: FailureDomainId,
    public val target: TargetId?,
    public val host: String,
    public val port: Int,
    public val operatorsPort: Int? = null,
)

/** The platform's list of live and leaving instances, which lags behind the truth. */
public fun interface InstanceList {
    /** Reads the list. */
    public suspend fun list(): Result<PersistentList<InstanceRecord>, PlatformError>
}
