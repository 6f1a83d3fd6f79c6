package toucanrelay.store.table

import com.github.michaelbull.result.Result
import toucanrelay.store.PlatformError

/** Identifies a row of the platform's table service. */
public data class RowKey(
    public val table: String,
    public val key: String,
)

/** Opaque version of a row, assigned by the table service. */
@JvmInline
public value class RowVersion(
    public val value: String,
)

/**
 * A row and its version at the time of the read.
 *
 * @property version changes with each write.
 * @property value the row's JSON text.
 */
public data class Row(
    public val version: RowVersion,
    public val value: String,
)

/** Precondition of a write on the state of its row. */
public sealed interface WriteCondition {
    /** The row does not exist. */
    public data object Absent : WriteCondition

    /**
     * The row has this version.
     *
     * @property version the expected version.
     */
    public data class Unchanged(
        public val version: RowVersion,
    ) : WriteCondition
}

/**
 * The platform's transactional table service, based on HTTP conditional requests (RFC 9110, section 13).
 *
 * A write may have taken effect although its response is lost; see [PlatformError.OutcomeUnknown].
 */
public interface TableService {
    /** Reads a row; returns null if it does not exist. */
    public suspend fun read(key: RowKey): Result<Row?, PlatformError>

    /** Writes a row if [condition] holds and returns its new version. */
    public suspend fun write(key: RowKey, value: String, condition: WriteCondition): Result<RowVersion, PlatformError>

    /** Deletes a row if it still has [version]. */
    public suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError>
}
