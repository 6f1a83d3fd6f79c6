package toucanrelay.daemon.agent.target

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import toucanrelay.wire.Usage

/** JSON format for messages to and from targets; unknown properties are ignored. */
internal val targetJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        coerceInputValues = true
    }

/** Token usage of a request. */
@Serializable
internal data class EngineUsage(
    @SerialName("prompt_tokens")
    val promptTokens: Long = 0,
    @SerialName("completion_tokens")
    val completionTokens: Long = 0,
    @SerialName("prompt_tokens_details")
    val promptDetails: PromptDetails? = null,
) {
    fun toWire(): Usage =
        Usage
            .newBuilder()
            .setPromptTokens(promptTokens)
            .setGeneratedTokens(completionTokens)
            .setCachedPromptTokens(promptDetails?.cachedTokens ?: 0)
            .build()
}

/** Breakdown of [EngineUsage.promptTokens]. */
@Serializable
internal data class PromptDetails(
    @SerialName("cached_tokens")
    val cachedTokens: Long = 0,
)

/** Newly generated part of a streamed answer. */
@Serializable
internal data class CompletionDelta(
    val content: String? = null,
)

/** One of the alternative completions in an event. */
@Serializable
internal data class CompletionChoice(
    val delta: CompletionDelta? = null,
)

/** An event of a streamed answer, or a complete answer. */
@Serializable
internal data class CompletionEvent(
    val choices: List<CompletionChoice> = emptyList(),
    val usage: EngineUsage? = null,
)

/** Answer of `GET /v1/streams/{requestId}/state`. */
@Serializable
internal data class StreamState(
    val lastEventId: Long = 0,
    val finished: Boolean = false,
    val running: Boolean = false,
)

/** Answer of `GET /load`. */
@Serializable
internal data class LoadReport(
    val startIdentity: String,
    val running: Int = 0,
    val waiting: Int = 0,
    val slots: Int = 0,
    val generatedTokensPerSecond: Double = 0.0,
    val reportAgeMilliseconds: Long = 0,
)

/** Answer of `GET /v1/models`. */
@Serializable
internal data class ModelList(
    val data: List<ModelEntry> = emptyList(),
)

/** One loaded model or adapter. */
@Serializable
internal data class ModelEntry(
    val id: String,
)

/** Body of `POST /orders/models`. */
@Serializable
internal data class ModelOrder(
    val model: String,
    val action: String,
    val fencingNumber: Long,
)

/** Answer of `GET /cache-events`. */
@Serializable
internal data class CacheEvents(
    val events: List<CacheEvent> = emptyList(),
    val latestSequence: Long = 0,
)

/** One change of the engine's prefix cache. */
@Serializable
internal data class CacheEvent(
    val sequence: Long,
    val kind: String,
    val prefixHash: String,
)
