package toucanrelay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an instance's process does. */
@Serializable
public enum class ListedRole {
    /** Faces callers. */
    @SerialName("entry")
    ENTRY,

    /** Runs beside a target. */
    @SerialName("agent")
    AGENT,
}

/** Whether the platform keeps an instance. */
@Serializable
public enum class ListedState {
    /** The instance runs. */
    @SerialName("live")
    LIVE,

    /** The instance is going to stop. */
    @SerialName("leaving")
    LEAVING,
}

/**
 * One instance as the platform lists it.
 *
 * @property instanceId name of the instance.
 * @property role what its process does.
 * @property state whether it is leaving.
 * @property region where it runs.
 * @property failureDomain the failure domain it falls with.
 * @property targetId the target beside an agent; null for an entry.
 * @property host IP number of the process's link port.
 * @property port the process's link port.
 */
@Serializable
public data class ListedInstance(
    public val instanceId: String,
    public val role: ListedRole,
    public val state: ListedState = ListedState.LIVE,
    public val region: String,
    public val failureDomain: String,
    public val targetId: String? = null,
    public val host: String,
    public val port: Int,
)

/** Answer to `GET /instances`. */
@Serializable
internal data class InstanceListing(
    val asOfMilliseconds: Long,
    val instances: List<ListedInstance>,
)

/** The list of instances with its past, so that it can be given out late. */
internal class LaggingInstanceList {
    private val history = mutableListOf(InstanceListing(System.currentTimeMillis(), emptyList()))

    fun put(instance: ListedInstance) =
        change { listed ->
            listed.filter { it.instanceId != instance.instanceId } +
                instance
        }

    fun remove(instanceId: String) = change { listed -> listed.filter { it.instanceId != instanceId } }

    /** The list as it was [lagMilliseconds] ago; empty before the first change. */
    fun listing(lagMilliseconds: Long): InstanceListing {
        val asOf = System.currentTimeMillis() - lagMilliseconds
        val known = history.lastOrNull { it.asOfMilliseconds <= asOf } ?: InstanceListing(asOf, emptyList())
        return known.copy(asOfMilliseconds = asOf)
    }

    private fun change(next: (List<ListedInstance>) -> List<ListedInstance>) {
        history += InstanceListing(System.currentTimeMillis(), next(history.last().instances))
        if (history.size > HISTORY_LENGTH) history.removeFirst()
    }

    private companion object {
        private const val HISTORY_LENGTH = 4_096
    }
}
