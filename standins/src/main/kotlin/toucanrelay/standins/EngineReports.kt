package toucanrelay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to `GET /load`. */
@Serializable
internal data class LoadReport(
    val startIdentity: String,
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val generatedTokensPerSecond: Double,
    val reportAgeMilliseconds: Long,
)

/** Answer to `GET /v1/streams/{requestId}/state`. */
@Serializable
internal data class StreamState(
    val lastEventId: Int,
    val finished: Boolean,
    val running: Boolean,
)

/** A loaded model in the answer to `GET /v1/models`. */
@Serializable
internal data class ModelEntry(
    val id: String,
    @SerialName("object")
    val kind: String = "model",
)

/** Answer to `GET /v1/models`. */
@Serializable
internal data class ModelList(
    val data: List<ModelEntry>,
    @SerialName("object")
    val kind: String = "list",
)

/**
 * What an engine counted since it was made.
 *
 * @property requests requests that it took.
 * @property completions requests that it answered whole.
 * @property peakRequests most requests that it held at one time, running and waiting.
 * @property coldOverloads requests that made it fail because it was cold.
 * @property cancelled streams that were cancelled or lost.
 * @property generatedTokens tokens that it generated.
 * @property busySlotMilliseconds slots in use, added up over time.
 */
public data class EngineCounts(
    public val requests: Long,
    public val completions: Long,
    public val peakRequests: Int,
    public val coldOverloads: Int,
    public val cancelled: Long,
    public val generatedTokens: Long,
    public val busySlotMilliseconds: Long,
)
