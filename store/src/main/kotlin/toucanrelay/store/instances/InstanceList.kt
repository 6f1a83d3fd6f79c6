package toucanrelay.store.instances

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.store.PlatformError

/** Role of a process in the fleet. */
public enum class InstanceRole {
    /** Accepts requests from callers. */
    ENTRY,

    /** Runs in the slot next to one target. */
    AGENT,
}

/** Lifecycle state of an instance. */
public enum class InstanceState {
    /** The instance is running. */
    LIVE,

    /** The instance is going to stop. */
    LEAVING,
}

/**
 * An entry of the platform's instance list.
 *
 * @property target the target next to an agent; null for an entry.
 * @property host IP address of the process's link port.
 * @property port the process's link port.
 * @property operatorsPort the process's operators port; null if the platform's list does not state it.
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

/** The platform's list of live and leaving instances, which lags behind the actual state. */
public fun interface InstanceList {
    /** Fetches the list. */
    public suspend fun list(): Result<PersistentList<InstanceRecord>, PlatformError>
}
