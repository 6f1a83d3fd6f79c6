package toucanrelay.control.report

import kotlinx.serialization.json.JsonElement

/** Result of a command. */
public interface Report {
    /** Formats the result as human-readable lines. */
    public fun toLines(): List<String>

    /** Formats the result as JSON. */
    public fun toJson(): JsonElement
}
