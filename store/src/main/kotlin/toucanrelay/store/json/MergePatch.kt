package toucanrelay.store.json

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** JSON merge patches (RFC 7396) between objects without null members. */
public object MergePatch {
    /** Returns the patch that turns [from] into [to]; neither object may have null members. */
    public fun between(from: JsonObject, to: JsonObject): JsonObject {
        val removed = (from.keys - to.keys).associateWith { JsonNull }
        val changed = to.filter { (key, value) -> from[key] != value }.mapValues { patchValue(from[it.key], it.value) }
        return JsonObject(removed + changed)
    }

    /** Returns [target] with [patch] applied. */
    public fun apply(target: JsonObject, patch: JsonObject): JsonObject {
        val members = target.toMutableMap<String, JsonElement>()
        patch.forEach { (key, value) ->
            if (value is JsonNull) members.remove(key) else members[key] = merged(target[key], value)
        }
        return JsonObject(members)
    }

    private fun patchValue(from: JsonElement?, to: JsonElement): JsonElement =
        if (from is JsonObject && to is JsonObject) between(from, to) else to

    private fun merged(target: JsonElement?, patch: JsonElement): JsonElement =
        if (patch is JsonObject) apply(target as? JsonObject ?: JsonObject(emptyMap()), patch) else patch
}
