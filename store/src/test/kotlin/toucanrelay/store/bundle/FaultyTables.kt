package toucanrelay.store.bundle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import toucanrelay.store.PlatformError
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.TableService
import toucanrelay.store.table.WriteCondition

/** Fault injected into a call. */
enum class Fault {
    /** The call is refused. */
    REFUSED,

    /** The call takes effect and its response is lost. */
    RESPONSE_LOST,

    /** The call is lost before it takes effect; the caller cannot tell it from a lost response. */
    REQUEST_LOST,
}

/** An in-memory table service that injects the queued faults into writes and reads. */
class FaultyTables(
    private val beforeWrite: suspend (FaultyTables) -> Unit = {},
) : TableService {
    val writeFaults = ArrayDeque<Fault>()
    val readFaults = ArrayDeque<Fault>()
    val readFaultsAfterWrite = ArrayDeque<Fault>()
    private val rows = mutableMapOf<RowKey, Row>()
    private var writes = 0

    override suspend fun read(key: RowKey): Result<Row?, PlatformError> =
        when (readFaults.removeFirstOrNull()) {
            null -> Ok(rows[key])
            Fault.REFUSED -> Err(PlatformError.NotExecuted("refused"))
            else -> Err(PlatformError.OutcomeUnknown("lost"))
        }

    override suspend fun write(
        key: RowKey,
        value: String,
        condition: WriteCondition,
    ): Result<RowVersion, PlatformError> {
        beforeWrite(this)
        readFaults.addAll(readFaultsAfterWrite)
        return when (writeFaults.removeFirstOrNull()) {
            null -> {
                apply(key, value, condition)
            }

            Fault.REFUSED -> {
                Err(PlatformError.NotExecuted("refused"))
            }

            Fault.REQUEST_LOST -> {
                Err(PlatformError.OutcomeUnknown("lost"))
            }

            Fault.RESPONSE_LOST -> {
                apply(key, value, condition)
                Err(PlatformError.OutcomeUnknown("lost"))
            }
        }
    }

    override suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError> =
        throw UnsupportedOperationException("bundles are not deleted")

    /** Writes without a fault, for example as another operator. */
    fun apply(key: RowKey, value: String, condition: WriteCondition): Result<RowVersion, PlatformError> {
        val expected = (condition as? WriteCondition.Unchanged)?.version
        if (rows[key]?.version != expected) return Err(PlatformError.Conflict("row changed"))
        writes += 1
        val version = RowVersion("\"$writes\"")
        rows[key] = Row(version, value)
        return Ok(version)
    }
}
