package toucanrelay.daemon.settings

import kotlinx.collections.immutable.PersistentList
import toucanrelay.store.json.JsonProblem

/** Why settings are not accepted. */
public sealed interface SettingsError {
    /** What is wrong, on one line. */
    public val detail: String

    /**
     * The file cannot be read.
     *
     * @property detail why.
     */
    public data class UnreadableFile(
        override val detail: String,
    ) : SettingsError

    /**
     * The file holds no JSON object.
     *
     * @property detail what is wrong.
     */
    public data class Malformed(
        override val detail: String,
    ) : SettingsError

    /**
     * Values are missing, unknown or not allowed.
     *
     * @property problems every such value; at least one.
     */
    public data class Invalid(
        public val problems: PersistentList<JsonProblem>,
    ) : SettingsError {
        override val detail: String
            get() = problems.first().toString() + furtherProblems()

        private fun furtherProblems(): String = if (problems.size == 1) "" else " (and ${problems.size - 1} more)"
    }
}
