package toucanrelay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Role of an instance's process. */
@Serializable
public enum class ListedRole {
    /** Accepts requests from callers. */
    @SerialName("entry")
    ENTRY,

    /** Runs next to a target and forwards requests to it. */
    @SerialName("agent")
    AGENT,
}

/** Whether an instance is live or about to stop. */
@Serializable
public enum class ListedState {
    /** The instance is running. */
    @SerialName("live")
    LIVE,

    /** The instance is about to stop. */
    @SerialName("leaving")
    LEAVING,
}

/**
 * Entry of the platform's instance list.
 *
 * @property instanceId name of the instance.
 * @property role role of its process.
 * @property state whether the instance is live or leaving.
 * @property region region in which it runs.
 * @property failureDomain failure domain that it belongs to.
 * @property targetId target that an agent serves; null for an entry.
 * @property host IP address of the link port.
 * @property port link port of the process.
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

/** Instance list with history, so that an outdated list can be returned. */
internal class LaggingInstanceList {
    private val history = mutableListOf(InstanceListing(System.currentTimeMillis(), emptyList()))

    fun put(instance: ListedInstance) =
        update { listed ->
            listed.filter { it.instanceId != instance.instanceId } +
                instance
        }

    fun remove(instanceId: String) = update { listed -> listed.filter { it.instanceId != instanceId } }

    /** Returns the list as of [lagMilliseconds] ago; empty if that is before the first change. */
    fun listing(lagMilliseconds: Long): InstanceListing {
        val asOf = System.currentTimeMillis() - lagMilliseconds
        val snapshot = history.lastOrNull { it.asOfMilliseconds <= asOf } ?: InstanceListing(asOf, emptyList())
        return snapshot.copy(asOfMilliseconds = asOf)
    }

    private fun update(transform: (List<ListedInstance>) -> List<ListedInstance>) {
        history += InstanceListing(System.currentTimeMillis(), transform(history.last().instances))
        if (history.size > MAX_HISTORY_ENTRIES) history.removeFirst()
    }

    private companion object {
        private const val MAX_HISTORY_ENTRIES = 4_096
    }
}
