package toucanrelay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Number of leading prompt characters that [promptPrefixHash] covers. */
public const val PROMPT_PREFIX_CHARACTERS: Int = 256

private const val CHARACTERS_PER_TOKEN = 4

/**
 * Hashes the leading part of a prompt: returns the first eight bytes, big-endian, of the SHA-256 of the first
 * [PROMPT_PREFIX_CHARACTERS] characters, in UTF-8, of all [contents] joined by line feeds.
 */
public fun promptPrefixHash(contents: List<String>): Long =
    sha256Prefix(contents.joinToString("\n").take(PROMPT_PREFIX_CHARACTERS))

/** Returns the simulated token count of [text]: one token per four characters, rounded up. */
public fun promptTokens(text: String): Int = (text.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

internal fun sha256Prefix(text: String): Long =
    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).long

/** One message of a conversation. */
@Serializable
internal data class ChatMessage(
    val role: String,
    val content: String,
)

/**
 * Body of `POST /v1/chat/completions`.
 *
 * @property maxTokens number of tokens to generate unless [stopAfter] is set.
 * @property stopAfter actual number of tokens to generate, for tests in which the hint [maxTokens] is wrong.
 */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens")
    val maxTokens: Int = 64,
    @SerialName("stop_after")
    val stopAfter: Int? = null,
    val stream: Boolean = false,
) {
    val answerTokens: Int
        get() = maxOf(stopAfter ?: maxTokens, 1)

    val promptText: String
        get() = messages.joinToString("\n") { it.content }

    /** Seed from which the answer is generated. */
    val seed: Long
        get() = sha256Prefix("$model\n$answerTokens\n$promptText")
}

/** Token usage of a request. */
@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens")
    val promptTokens: Int,
    @SerialName("completion_tokens")
    val completionTokens: Int,
    @SerialName("total_tokens")
    val totalTokens: Int = promptTokens + completionTokens,
)

/** Increment of an answer in one server-sent event. */
@Serializable
internal data class ChatDelta(
    val content: String? = null,
)

/** One alternative of an answer; the stand-in always returns exactly one. */
@Serializable
internal data class ChatChoice(
    val index: Int = 0,
    val message: ChatMessage? = null,
    val delta: ChatDelta? = null,
    @SerialName("finish_reason")
    val finishReason: String? = null,
)

/** A complete answer, or one event of a streamed answer. */
@Serializable
internal data class ChatAnswer(
    val id: String,
    @SerialName("object")
    val kind: String,
    val model: String,
    val choices: List<ChatChoice>,
    val usage: ChatUsage? = null,
)
