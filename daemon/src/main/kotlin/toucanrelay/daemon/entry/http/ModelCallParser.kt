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
import kotlinx.serialization.json.longOrNull
import toucanrelay.core.identity.Pool
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.store.json.MAX_JSON_NESTING_LEVELS
import toucanrelay.store.json.isJsonNestedDeeperThan

/**
 * What the relay reads of a chat completion.
 *
 * @property model the model, without its adapter.
 * @property adapter the adapter; empty when none is asked for.
 * @property isStreamed whether the caller asked for server-sent events.
 * @property maximumTokens generated tokens that the caller allows.
 * @property prefixHash hash of the prompt's beginning.
 */
internal data class ModelCallDescription(
    val model: String,
    val adapter: String,
    val isStreamed: Boolean,
    val maximumTokens: Long,
    val prefixHash: Long,
) {
    val pool: Pool
        get() = Pool.ofModel(model, adapter)
}

/** Reads the members of a chat completion that the relay needs; the engine gets the body as the caller sent it. */
internal object ModelCallParser {
    private const val DEFAULT_MAXIMUM_TOKENS = 256L
    private const val HIGHEST_MAXIMUM_TOKENS = 1_000_000L

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
            root["stream"].orAbsent {
                (it as? JsonPrimitive)
                    ?.takeIf { value ->
                        !value.isString
                    }?.booleanOrNull
            }
        val maximumTokens = (root["max_tokens"] ?: root["max_completion_tokens"]).orAbsent(::tokens)
        return when {
            name.isNullOrBlank() -> {
                malformed("The member \"model\" must be a name.")
            }

            messages.isNullOrEmpty() || messages.any { it !is JsonObject } -> {
                malformed("The member \"messages\" must be a list of messages that is not empty.")
            }

            isStreamed == Member.Wrong -> {
                malformed("The member \"stream\" must be true or false.")
            }

            maximumTokens == Member.Wrong -> {
                malformed("The member \"max_tokens\" must be a positive number.")
            }

            else -> {
                Ok(description(name, messages, isStreamed.value ?: false, maximumTokens.value))
            }
        }
    }

    private fun description(
        name: String,
        messages: JsonArray,
        isStreamed: Boolean,
        maximumTokens: Long?,
    ) = ModelCallDescription(
        model = name.substringBefore('+'),
        adapter = name.substringAfter('+', ""),
        isStreamed = isStreamed,
        maximumTokens = maximumTokens ?: DEFAULT_MAXIMUM_TOKENS,
        prefixHash = PrefixHash.of(messages),
    )

    private fun tokens(element: JsonElement): Long? =
        (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull?.takeIf { it in 1..HIGHEST_MAXIMUM_TOKENS }

    private fun malformed(detail: String): Result<Nothing, Refusal> =
        Err(Refusal(RefusalReason.MALFORMED_REQUEST, detail))

    private fun <T : Any> JsonElement?.orAbsent(read: (JsonElement) -> T?): Member<T> =
        when (this) {
            null, JsonNull -> Member.Absent
            else -> read(this)?.let { Member.Present(it) } ?: Member.Wrong
        }

    private sealed class Member<out T : Any>(
        val value: T?,
    ) {
        data object Absent : Member<Nothing>(null)

        data object Wrong : Member<Nothing>(null)

        class Present<T : Any>(
            present: T,
        ) : Member<T>(present)
    }
}
