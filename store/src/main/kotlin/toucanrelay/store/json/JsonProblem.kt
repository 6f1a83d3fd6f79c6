package toucanrelay.store.json

/**
 * A value of a JSON document that is not allowed.
 *
 * @property path keys from the root to the value, joined by dots; empty for the root.
 * @property detail what is wrong and what is allowed.
 */
public data class JsonProblem(
    public val path: String,
    public val detail: String,
) {
    override fun toString(): String = if (path.isEmpty()) detail else "$path: $detail"
}

/** Collects the problems found in one document. */
public class JsonProblems {
    private val collected = mutableListOf<JsonProblem>()

    /** All problems, in the order in which they were reported. */
    public val all: List<JsonProblem>
        get() = collected.toList()

    /** Adds a problem at [path]. */
    public fun report(path: String, detail: String) {
        collected += JsonProblem(path, detail)
    }
}
