package toucanrelay.store.json

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Reads the members of a JSON object and reports every one that is missing, malformed or unknown.
 *
 * A reading function always returns a value, so that one pass finds all problems; the value is of no use when
 * [problems] is not empty at the end.
 *
 * @property path keys from the root to this object.
 * @property problems collects what is wrong.
 */
public class CheckedObject(
    public val path: String,
    private val members: JsonObject,
    public val problems: JsonProblems,
) {
    private val known = mutableSetOf<String>()

    /** Whether the object has the member [key]. */
    public fun has(key: String): Boolean = key in members

    /** Path of the member [key]. */
    public fun pathOf(key: String): String = childPath(path, key)

    /** The text at [key], which must satisfy [rule]; [default] when it is absent, required when that is null. */
    public fun text(key: String, rule: TextRule, default: String? = null): String =
        member(key, default != null, "a text: ${rule.allowed}")
            ?.let { checkedText(pathOf(key), it, rule) }
            ?: default.orEmpty()

    /** The whole number at [key] within [range]; [default] when it is absent, required when that is null. */
    public fun whole(key: String, range: LongRange, default: Long? = null): Long {
        val allowed = "a whole number from ${range.first} to ${range.last}"
        val element = member(key, default != null, allowed) ?: return default ?: range.first
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        if (value == null || value !in range) return reject(key, element, allowed, range.first)
        return value
    }

    /** The number at [key] that satisfies [rule]; [default] when it is absent, required when that is null. */
    public fun number(key: String, rule: NumberRule, default: Double? = null): Double {
        val allowed = "a number: ${rule.allowed}"
        val element = member(key, default != null, allowed) ?: return default ?: 1.0
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.doubleOrNull
        if (value == null || !value.isFinite() || !rule.accepts(value)) return reject(key, element, allowed, 1.0)
        return value
    }

    /** The truth value at [key]; [default] when it is absent, required when that is null. */
    public fun flag(key: String, default: Boolean? = null): Boolean {
        val element = member(key, default != null, ALLOWED_FLAG) ?: return default ?: false
        val value = (element as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
        return value ?: reject(key, element, ALLOWED_FLAG, false)
    }

    /** The list of texts at [key], each of which satisfies [rule]; null when it is absent and not [isRequired]. */
    public fun texts(key: String, rule: TextRule, isRequired: Boolean): List<String>? =
        list(key, "a list of texts: ${rule.allowed}", isRequired)
            ?.mapIndexed { index, element -> checkedText("${pathOf(key)}[$index]", element, rule).orEmpty() }

    /** The list of objects at [key], each read by [read]. */
    public fun <T> objects(key: String, read: (CheckedObject) -> T): List<T> =
        list(key, "a list of objects", isRequired = true).orEmpty().mapIndexedNotNull { index, element ->
            childObject("${pathOf(key)}[$index]", element, read)
        }

    /** The object at [key] read by [read]; null when it is absent. */
    public fun <T> objectAt(key: String, isRequired: Boolean = false, read: (CheckedObject) -> T): T? =
        member(key, isOptional = !isRequired, "an object")?.let { childObject(pathOf(key), it, read) }

    /** The object at [key] as it stands; null, and reported, when it is absent or no object. */
    public fun rawObject(key: String): JsonObject? {
        val element = member(key, isOptional = false, "an object") ?: return null
        return element as? JsonObject ?: reject(key, element, "an object", null)
    }

    /** The objects by name at [key]; each name satisfies [rule]; an absent member is an empty map. */
    public fun <T> objectsByName(key: String, rule: TextRule, read: (CheckedObject) -> T): Map<String, T> {
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

    /** Reports every member that no reading function asked for. */
    public fun finish() {
        val unknown = members.keys - known
        unknown.forEach { problems.report(pathOf(it), "unknown key; allowed are ${known.sorted().joinToString()}") }
    }

    private fun <T> childObject(childPath: String, element: JsonElement, read: (CheckedObject) -> T): T? {
        if (element !is JsonObject) {
            problems.report(childPath, "found ${shown(element)}; allowed is an object")
            return null
        }
        val child = CheckedObject(childPath, element, problems)
        return read(child).also { child.finish() }
    }

    private fun list(key: String, allowed: String, isRequired: Boolean): JsonArray? {
        val element = member(key, isOptional = !isRequired, allowed) ?: return null
        return element as? JsonArray ?: reject(key, element, allowed, null)
    }

    private fun member(key: String, isOptional: Boolean, allowed: String): JsonElement? {
        known += key
        val element = members[key]
        if (element == null && !isOptional) problems.report(pathOf(key), "missing; allowed is $allowed")
        return element
    }

    private fun checkedText(textPath: String, element: JsonElement, rule: TextRule): String? {
        val value = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (value != null && rule.accepts(value)) return value
        problems.report(textPath, "found ${shown(element)}; allowed is a text: ${rule.allowed}")
        return null
    }

    private fun <T> reject(
        key: String,
        found: JsonElement,
        allowed: String,
        replacement: T,
    ): T {
        problems.report(pathOf(key), "found ${shown(found)}; allowed is $allowed")
        return replacement
    }

    private fun shown(element: JsonElement): String = element.toString().take(SHOWN_CHARACTERS)

    private companion object {
        const val ALLOWED_FLAG = "true or false"
        const val SHOWN_CHARACTERS = 60

        fun childPath(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"
    }
}

/**
 * Which texts are allowed.
 *
 * @property allowed says it in a message.
 * @property accepts decides it.
 */
public class TextRule(
    public val allowed: String,
    public val accepts: (String) -> Boolean,
)

/**
 * Which numbers are allowed.
 *
 * @property allowed says it in a message.
 * @property accepts decides it.
 */
public class NumberRule(
    public val allowed: String,
    public val accepts: (Double) -> Boolean,
)
