package toucanrelay.store.json

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import toucanrelay.core.json.JsonNumbers

/**
 * Reads the members of a JSON object and reports every member that is missing, malformed or unknown.
 *
 * A function that finds a problem reports it and returns a placeholder, so that one pass finds all problems. Values are
 * meaningful only if [problems] is empty at the end.
 *
 * @property path keys from the root to this object, joined by dots.
 * @property problems collects the problems found.
 */
public class JsonObjectReader(
    public val path: String,
    private val members: JsonObject,
    public val problems: JsonProblems,
) {
    private val readKeys = mutableSetOf<String>()

    /** Returns whether the object has the member [key]. */
    public fun has(key: String): Boolean = key in members

    /** Returns the path of the member [key]. */
    public fun pathOf(key: String): String = childPath(path, key)

    /** Reads the string at [key], which must satisfy [rule]; it is required unless there is a [default]. */
    public fun string(key: String, rule: StringRule, default: String? = null): String =
        member(key, default != null, "a string: ${rule.allowed}")
            ?.let { checkedString(pathOf(key), it, rule) }
            ?: default.orEmpty()

    /** Reads the whole number at [key], which must be in [range]; it is required unless there is a [default]. */
    public fun integer(key: String, range: LongRange, default: Long? = null): Long {
        val allowed = "a whole number from ${range.first} to ${range.last}"
        val element = member(key, default != null, allowed) ?: return default ?: range.first
        val value =
            (element as? JsonPrimitive)?.takeUnless { it.isString }?.let {
                JsonNumbers.wholeNumberOf(
                    it.content,
                )
            }
        if (value == null || value !in range) return reject(key, element, allowed, range.first)
        return value
    }

    /** Reads the number at [key], which must satisfy [rule]; it is required unless there is a [default]. */
    public fun number(key: String, rule: NumberRule, default: Double? = null): Double {
        val allowed = "a number: ${rule.allowed}"
        val element = member(key, default != null, allowed) ?: return default ?: 1.0
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.let { JsonNumbers.numberOf(it.content) }
        if (value == null || !rule.accepts(value)) return reject(key, element, allowed, 1.0)
        return value
    }

    /** Reads the boolean at [key]; it is required unless there is a [default]. */
    public fun boolean(key: String, default: Boolean? = null): Boolean {
        val element = member(key, default != null, BOOLEAN_VALUES) ?: return default ?: false
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
        return value ?: reject(key, element, BOOLEAN_VALUES, false)
    }

    /** Reads the list of strings at [key], each of which must satisfy [rule]; returns null if it is absent. */
    public fun strings(key: String, rule: StringRule, isRequired: Boolean): List<String>? =
        list(key, "a list of strings: ${rule.allowed}", isRequired)
            ?.mapIndexed { index, element -> checkedString("${pathOf(key)}[$index]", element, rule).orEmpty() }

    /** Reads the required list of objects at [key], each with [read]. */
    public fun <T> objects(key: String, read: (JsonObjectReader) -> T): List<T> =
        list(key, "a list of objects", isRequired = true).orEmpty().mapIndexedNotNull { index, element ->
            childObject("${pathOf(key)}[$index]", element, read)
        }

    /** Reads the object at [key] with [read]; returns null if it is absent. */
    public fun <T> objectAt(key: String, isRequired: Boolean = false, read: (JsonObjectReader) -> T): T? =
        member(key, isOptional = !isRequired, "an object")?.let { childObject(pathOf(key), it, read) }

    /** Returns the required object at [key] unchecked; reports a problem and returns null if there is none. */
    public fun rawObject(key: String): JsonObject? {
        val element = member(key, isOptional = false, "an object") ?: return null
        return element as? JsonObject ?: reject(key, element, "an object", null)
    }

    /** Reads the map of objects at [key], whose keys must satisfy [rule]; returns an empty map if it is absent. */
    public fun <T> objectsByName(key: String, rule: StringRule, read: (JsonObjectReader) -> T): Map<String, T> {
        val element = member(key, isOptional = true, "an object") ?: return emptyMap()
        val named = element as? JsonObject ?: return reject(key, element, "an object", emptyMap())
        val values = linkedMapOf<String, T>()
        named.forEach { (name, value) ->
            val childPath = childPath(pathOf(key), name)
            if (!rule.accepts(name)) problems.report(childPath, "the name must be ${rule.allowed}")
            childObject(childPath, value, read)?.let { values[name] = it }
        }
        return values
    }

    /** Reports every member that was not read. */
    public fun reportUnknownKeys() {
        val unknown = members.keys - readKeys
        unknown.forEach { problems.report(pathOf(it), "unknown key; allowed are ${readKeys.sorted().joinToString()}") }
    }

    private fun <T> childObject(childPath: String, element: JsonElement, read: (JsonObjectReader) -> T): T? {
        if (element !is JsonObject) {
            problems.report(childPath, "found ${excerpt(element)}; allowed is an object")
            return null
        }
        val child = JsonObjectReader(childPath, element, problems)
        return read(child).also { child.reportUnknownKeys() }
    }

    private fun list(key: String, allowed: String, isRequired: Boolean): JsonArray? {
        val element = member(key, isOptional = !isRequired, allowed) ?: return null
        return element as? JsonArray ?: reject(key, element, allowed, null)
    }

    private fun member(key: String, isOptional: Boolean, allowed: String): JsonElement? {
        readKeys += key
        val element = members[key]
        if (element == null && !isOptional) problems.report(pathOf(key), "missing; allowed is $allowed")
        return element
    }

    private fun checkedString(stringPath: String, element: JsonElement, rule: StringRule): String? {
        val value = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (value != null && rule.accepts(value)) return value
        problems.report(stringPath, "found ${excerpt(element)}; allowed is a string: ${rule.allowed}")
        return null
    }

    private fun <T> reject(
        key: String,
        found: JsonElement,
        allowed: String,
        placeholder: T,
    ): T {
        problems.report(pathOf(key), "found ${excerpt(found)}; allowed is $allowed")
        return placeholder
    }

    private fun excerpt(element: JsonElement): String = element.toString().take(EXCERPT_CHARACTERS)

    private companion object {
        const val BOOLEAN_VALUES = "true or false"
        const val EXCERPT_CHARACTERS = 60

        fun childPath(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"
    }
}

/**
 * Restricts the values of a string.
 *
 * @property allowed description of the allowed values, for messages.
 * @property accepts returns whether a value is allowed.
 */
public class StringRule(
    public val allowed: String,
    public val accepts: (String) -> Boolean,
)

/**
 * Restricts the values of a number.
 *
 * @property allowed description of the allowed values, for messages.
 * @property accepts returns whether a value is allowed.
 */
public class NumberRule(
    public val allowed: String,
    public val accepts: (Double) -> Boolean,
)
