package toucanrelay.store.instances

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId

/** Body of the platform's response to `GET /instances`; unknown keys are ignored. */
@Serializable
internal class InstanceListResponse(
    private val instances: List<ListedInstance>,
) {
    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Parses the response body; throws an [IllegalArgumentException] if it is malformed. */
        fun parse(body: String): List<InstanceRecord> =
            json.decodeFromString<InstanceListResponse>(body).instances.map { it.toRecord() }
    }
}

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
