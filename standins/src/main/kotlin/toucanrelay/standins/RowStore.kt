package toucanrelay.standins

import io.vertx.core.buffer.Buffer

/** Precondition of a write or deletion of a row. */
internal sealed interface RowCondition {
    data object Absent : RowCondition

    data class Unchanged(
        val version: Long,
    ) : RowCondition
}

/** A row and the version assigned by its last write. */
internal data class StoredRow(
    val version: Long,
    val value: Buffer,
)

/** Rows of all tables. A version is never reused, not even when a row is deleted and created again. */
internal class RowStore {
    private val rows = HashMap<String, StoredRow>()
    private var lastVersion = 0L

    fun read(key: String): StoredRow? = rows[key]

    /** Writes [value] if [condition] is met; returns the new version, or null if it is not met. */
    fun write(key: String, value: Buffer, condition: RowCondition): Long? {
        if (!isMet(key, condition)) return null
        lastVersion += 1
        rows[key] = StoredRow(lastVersion, value)
        return lastVersion
    }

    /** Deletes the row if it exists and [condition] is met; returns whether it was deleted. */
    fun delete(key: String, condition: RowCondition): Boolean = isMet(key, condition) && rows.remove(key) != null

    private fun isMet(key: String, condition: RowCondition) =
        when (condition) {
            RowCondition.Absent -> key !in rows
            is RowCondition.Unchanged -> rows[key]?.version == condition.version
        }
}
