package toucanrelay.daemon.order

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import toucanrelay.core.order.OrderRecord
import toucanrelay.store.PlatformError
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.TableService
import toucanrelay.store.table.WriteCondition
import java.security.MessageDigest

/**
 * An order record with the version of its row.
 *
 * @property record null when the row does not contain a valid order record.
 */
internal data class VersionedOrder(
    val version: RowVersion,
    val record: OrderRecord?,
)

/** Reads and writes the rows of orders in the platform's table service. */
internal class OrderTable(
    private val tables: TableService,
) {
    /** Returns the row key for [key]: a digest, because callers' keys may have any length and content. */
    fun rowOf(key: OrderKey): RowKey {
        val digest = MessageDigest.getInstance("SHA-256")
        listOf(key.organisation.value, key.service, key.idempotencyKey).forEach { part ->
            val bytes = part.encodeToByteArray()
            digest.update("${bytes.size}:".encodeToByteArray())
            digest.update(bytes)
        }
        return RowKey(TABLE, digest.digest().joinToString("") { "%02x".format(it) })
    }

    suspend fun read(row: RowKey): Result<VersionedOrder?, PlatformError> =
        tables.read(row).map { found -> found?.let { VersionedOrder(it.version, OrderRow.decode(it.value)) } }

    suspend fun create(row: RowKey, record: OrderRecord): Result<RowVersion, PlatformError> =
        tables.write(row, OrderRow.encode(record), WriteCondition.Absent)

    suspend fun replace(row: RowKey, version: RowVersion, record: OrderRecord): Result<RowVersion, PlatformError> =
        tables.write(row, OrderRow.encode(record), WriteCondition.Unchanged(version))

    suspend fun remove(row: RowKey, version: RowVersion): Result<Unit, PlatformError> = tables.delete(row, version)

    private companion object {
        const val TABLE = "orders"
    }
}
