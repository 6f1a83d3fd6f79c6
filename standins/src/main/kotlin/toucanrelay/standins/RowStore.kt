package toucanrelay.standins

import io.vertx.core.buffer.Buffer

/** What a conditional request asks of the row that it changes. */
internal sealed interface RowCondition {
    data object Absent : RowCondition

    data class Unchanged(
        val version: Long,
    ) : RowCondition
}

/** A row with the version that its last write gave it. */
internal data class StoredRow(
    val version: Long,
    val value: Buffer,
)

/** Rows of all tables; a version is never given twice, also not to a row that was deleted in between. */
internal class RowStore {
    private val rows = HashMap<String, StoredRow>()
    private var lastVersion = 0L

    fun read(key: String): StoredRow? = rows[key]

    /** Writes [value] when [condition] holds; returns the new version, or null when it does not. */
    fun write(key: String, value: Buffer, condition: RowCondition): Long? {
        if (!holds(key, condition)) return null
        lastVersion += 1
        rows[key] = StoredRow(lastVersion, value)
        return lastVersion
    }

    /** Deletes the row when [condition] holds; returns whether it did. */
    fun delete(key: String, condition: RowCondition): Boolean = holds(key, condition) && rows.remove(key) != null

    private fun holds(key: String, condition: RowCondition) =
        when (condition) {
            RowCondition.Absent -> key !in rows
            is RowCondition.Unchanged -> rows[key]?.version == condition.version
        }
}
