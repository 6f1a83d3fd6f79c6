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
 * Counters of an engine since its creation.
 *
 * @property requests requests received, including those that a cold engine rejected.
 * @property completions requests whose answer was generated completely.
 * @property peakRequests highest number of requests running and waiting at one time.
 * @property coldOverloads requests that exceeded the limit of a cold engine and made it fail.
 * @property cancelled streams cancelled or lost in a restart.
 * @property generatedTokens tokens generated.
 * @property busySlotMilliseconds busy time in milliseconds, summed over all slots.
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
