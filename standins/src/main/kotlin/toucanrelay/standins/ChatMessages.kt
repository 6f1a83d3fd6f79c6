package toucanrelay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Characters of a prompt that [promptPrefixHash] covers. */
public const val PROMPT_PREFIX_CHARACTERS: Int = 256

private const val CHARACTERS_IN_A_TOKEN = 4

/**
 * Hash of the leading part of a prompt: the first eight bytes, big-endian, of the SHA-256 of the first
 * [PROMPT_PREFIX_CHARACTERS] characters of all [contents] joined by line feeds, in UTF-8.
 */
public fun promptPrefixHash(contents: List<String>): Long =
    digestOf(contents.joinToString("\n").take(PROMPT_PREFIX_CHARACTERS))

/** Number of tokens that the stand-in counts for [text]: one for each four characters, rounded up. */
public fun promptTokens(text: String): Int = (text.length + CHARACTERS_IN_A_TOKEN - 1) / CHARACTERS_IN_A_TOKEN

internal fun digestOf(text: String): Long =
    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).long

/** One turn of a conversation. */
@Serializable
internal data class ChatMessage(
    val role: String,
    val content: String,
)

/**
 * Body of `POST /v1/chat/completions`.
 *
 * @property maxTokens tokens to generate, unless [stopAfter] says otherwise.
 * @property stopAfter the true number of tokens, so that the hint [maxTokens] may be wrong.
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

    /** Decides every byte of the answer. */
    val seed: Long
        get() = digestOf("$model\n$answerTokens\n$promptText")
}

/** What a request cost. */
@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens")
    val promptTokens: Int,
    @SerialName("completion_tokens")
    val completionTokens: Int,
    @SerialName("total_tokens")
    val totalTokens: Int = promptTokens + completionTokens,
)

/** Part of an answer in one server-sent event. */
@Serializable
internal data class ChatDelta(
    val content: String? = null,
)

/** Alternative of an answer; the stand-in gives one. */
@Serializable
internal data class ChatChoice(
    val index: Int = 0,
    val message: ChatMessage? = null,
    val delta: ChatDelta? = null,
    @SerialName("finish_reason")
    val finishReason: String? = null,
)

/** A whole answer, or one event of a streamed one. */
@Serializable
internal data class ChatAnswer(
    val id: String,
    @SerialName("object")
    val kind: String,
    val model: String,
    val choices: List<ChatChoice>,
    val usage: ChatUsage? = null,
)
