package toucanrelay.daemon.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import toucanrelay.core.identity.Pool
import toucanrelay.core.json.JsonNumbers
import toucanrelay.core.json.MAX_JSON_NESTING_LEVELS
import toucanrelay.core.json.isJsonNestedDeeperThan
import toucanrelay.core.refusal.RefusalReason

/**
 * The fields of a chat completion request that the relay uses.
 *
 * @property model the model, without its adapter.
 * @property adapter the adapter; empty when none is requested.
 * @property isStreamed whether the caller requested server-sent events.
 * @property maxTokens maximum number of generated tokens.
 * @property prefixHash hash of the start of the prompt.
 */
internal data class ModelCallDescription(
    val model: String,
    val adapter: String,
    val isStreamed: Boolean,
    val maxTokens: Long,
    val prefixHash: Long,
) {
    val pool: Pool
        get() = Pool.ofModel(model, adapter)
}

/** Parses the fields of a chat completion request that the relay uses; the body itself is forwarded unchanged. */
internal object ModelCallParser {
    private const val DEFAULT_MAX_TOKENS = 256L
    private const val MAX_TOKENS_LIMIT = 1_000_000L

    fun parse(body: ByteArray): Result<ModelCallDescription, Refusal> {
        val root =
            try {
                val text = body.decodeToString(throwOnInvalidSequence = true)
                if (isJsonNestedDeeperThan(
                        text,
                    )
                ) {
                    return malformed("The body nests deeper than $MAX_JSON_NESTING_LEVELS levels.")
                }
                Json.parseToJsonElement(text)
            } catch (cause: SerializationException) {
                return malformed("The body is not JSON.")
            } catch (cause: CharacterCodingException) {
                return malformed("The body is not UTF-8.")
            }
        return if (root is JsonObject) describe(root) else malformed("The body is not a JSON object.")
    }

    private fun describe(root: JsonObject): Result<ModelCallDescription, Refusal> {
        val name = (root["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
        val messages = root["messages"] as? JsonArray
        val isStreamed =
            root["stream"].parseMember {
                (it as? JsonPrimitive)
                    ?.takeIf { value ->
                        !value.isString
                    }?.booleanOrNull
            }
        val maxTokens = (root["max_tokens"] ?: root["max_completion_tokens"]).parseMember(::tokenCountOf)
        return when {
            name.isNullOrBlank() -> {
                malformed("The member \"model\" must be a name.")
            }

            messages.isNullOrEmpty() || messages.any { it !is JsonObject } -> {
                malformed("The member \"messages\" must be a list of messages that is not empty.")
            }

            isStreamed == Member.Invalid -> {
                malformed("The member \"stream\" must be true or false.")
            }

            maxTokens == Member.Invalid -> {
                malformed("The member \"max_tokens\" must be a positive number.")
            }

            else -> {
                Ok(description(name, messages, isStreamed.value ?: false, maxTokens.value))
            }
        }
    }

    private fun description(
        name: String,
        messages: JsonArray,
        isStreamed: Boolean,
        maxTokens: Long?,
    ) = ModelCallDescription(
        model = name.substringBefore('+'),
        adapter = name.substringAfter('+', ""),
        isStreamed = isStreamed,
        maxTokens = maxTokens ?: DEFAULT_MAX_TOKENS,
        prefixHash = PrefixHash.of(messages),
    )

    private fun tokenCountOf(element: JsonElement): Long? =
        (element as? JsonPrimitive)
            ?.takeIf { !it.isString }
            ?.let { JsonNumbers.wholeNumberOf(it.content) }
            ?.takeIf { it in 1..MAX_TOKENS_LIMIT }

    private fun malformed(detail: String): Result<Nothing, Refusal> =
        Err(Refusal(RefusalReason.MALFORMED_REQUEST, detail))

    private fun <T : Any> JsonElement?.parseMember(read: (JsonElement) -> T?): Member<T> =
        when (this) {
            null, JsonNull -> Member.Absent
            else -> read(this)?.let { Member.Present(it) } ?: Member.Invalid
        }

    private sealed class Member<out T : Any>(
        val value: T?,
    ) {
        data object Absent : Member<Nothing>(null)

        data object Invalid : Member<Nothing>(null)

        class Present<T : Any>(
            value: T,
        ) : Member<T>(value)
    }
}
