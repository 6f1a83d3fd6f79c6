package toucanrelay.store.instances

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.json.MAX_JSON_NESTING_LEVELS
import toucanrelay.core.json.isJsonNestedDeeperThan

private val PORTS = 1..65_535

/** Reads the body of the platform's response to `GET /instances`; unknown keys are ignored. */
internal object InstanceListResponse {
    private val json = Json { ignoreUnknownKeys = true }

    /**
     * Parses the response body, without the entries that are malformed: the others hold.
     *
     * Throws an [IllegalArgumentException] if it is no list of instances.
     */
    fun parse(body: String): List<InstanceRecord> {
        val listed = parseAll(body) ?: parseEach(body)
        val (usable, odd) = listed.partition { it != null && it.isUsable }
        if (odd.isNotEmpty()) Logger.warn { "store: skipping ${odd.size} odd entries of the list of instances" }
        return usable.mapNotNull { it?.toRecord() }
    }

    private fun parseAll(body: String): List<ListedInstance?>? =
        try {
            json.decodeFromString<InstanceListDocument<ListedInstance>>(body).instances
        } catch (_: SerializationException) {
            null
        }

    private fun parseEach(body: String): List<ListedInstance?> {
        require(!isJsonNestedDeeperThan(body)) { "nested deeper than $MAX_JSON_NESTING_LEVELS levels" }
        return json.decodeFromString<InstanceListDocument<JsonElement>>(body).instances.map { parseEntry(it) }
    }

    private fun parseEntry(entry: JsonElement): ListedInstance? =
        try {
            json.decodeFromJsonElement<ListedInstance>(entry)
        } catch (_: IllegalArgumentException) {
            null
        }
}

/** The list of instances in the platform's JSON. */
@Serializable
internal class InstanceListDocument<T>(
    val instances: List<T>,
)

/** An instance in the platform's JSON. */
@Serializable
internal class ListedInstance(
    private val instanceId: String,
    private val role: ListedRole,
    private val state: ListedState,
    private val region: String,
    private val failureDomain: String,
    private val host: String,
    private val port: Int,
    private val targetId: String? = null,
    private val operatorsPort: Int? = null,
) {
    /** Whether the entry names an address that can be connected to. */
    val isUsable: Boolean
        get() = host.isNotBlank() && port in PORTS && (operatorsPort == null || operatorsPort in PORTS)

    fun toRecord(): InstanceRecord =
        InstanceRecord(
            instance = InstanceId(instanceId),
            role = if (role == ListedRole.ENTRY) InstanceRole.ENTRY else InstanceRole.AGENT,
            state = if (state == ListedState.LIVE) InstanceState.LIVE else InstanceState.LEAVING,
            region = RegionId(region),
            failureDomain = FailureDomainId(failureDomain),
            target = targetId?.let { TargetId(it) },
            host = host,
            port = port,
            operatorsPort = operatorsPort,
        )
}

/** Role in the platform's JSON. */
@Serializable
internal enum class ListedRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("agent")
    AGENT,
}

/** State in the platform's JSON. */
@Serializable
internal enum class ListedState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
