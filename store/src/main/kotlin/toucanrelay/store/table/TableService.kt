package toucanrelay.store.table

import com.github.michaelbull.result.Result
import toucanrelay.store.PlatformError

/** Names a row of the platform's table service. */
public data class RowKey(
    public val table: String,
    public val key: String,
)

/** Version of a row as the table service gives it; opaque. */
@JvmInline
public value class RowVersion(
    public val value: String,
)

/**
 * A row as it was read.
 *
 * @property version changes with each write.
 * @property value the row's JSON text.
 */
public data class Row(
    public val version: RowVersion,
    public val value: String,
)

/** What must hold of a row for a write to take effect. */
public sealed interface WriteCondition {
    /** The row does not exist. */
    public data object Absent : WriteCondition

    /**
     * The row has this version.
     *
     * @property version the version that was read.
     */
    public data class Unchanged(
        public val version: RowVersion,
    ) : WriteCondition
}

/**
 * The platform's transactional table service, by HTTP conditional requests (RFC 9110, section 13).
 *
 * Every call may be lost after it took effect, see [PlatformError.AnswerLost].
 */
public interface TableService {
    /** Reads a row; null when it does not exist. */
    public suspend fun read(key: RowKey): Result<Row?, PlatformError>

    /** Writes a row if [condition] holds and returns its new version. */
    public suspend fun write(key: RowKey, value: String, condition: WriteCondition): Result<RowVersion, PlatformError>

    /** Deletes a row if it still has [version]. */
    public suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError>
}
