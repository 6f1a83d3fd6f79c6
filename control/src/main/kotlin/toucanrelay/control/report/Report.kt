package toucanrelay.control.report

import kotlinx.serialization.json.JsonElement

/** What a command has to tell, for people and for machines. */
public interface Report {
    /** Lines for people. */
    public fun toLines(): List<String>

    /** The same for machines. */
    public fun toJson(): JsonElement
}
