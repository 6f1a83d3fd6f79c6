package toucanrelay.daemon.settings

import kotlinx.collections.immutable.PersistentList
import toucanrelay.store.json.JsonProblem

/** Reason why settings are rejected. */
public sealed interface SettingsError {
    /** Description of the error, on one line. */
    public val detail: String

    /**
     * The file cannot be read.
     *
     * @property detail description of the error, on one line.
     */
    public data class UnreadableFile(
        override val detail: String,
    ) : SettingsError

    /**
     * The file does not contain a JSON object.
     *
     * @property detail description of the error, on one line.
     */
    public data class Malformed(
        override val detail: String,
    ) : SettingsError

    /**
     * Keys are missing or unknown, or values are invalid.
     *
     * @property problems all problems that were found; at least one.
     */
    public data class Invalid(
        public val problems: PersistentList<JsonProblem>,
    ) : SettingsError {
        override val detail: String
            get() = problems.first().toString() + furtherProblems()

        private fun furtherProblems(): String = if (problems.size == 1) "" else " (and ${problems.size - 1} more)"
    }
}
