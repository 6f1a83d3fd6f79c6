package toucanrelay.daemon.order

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import toucanrelay.store.PlatformError
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.TableService
import toucanrelay.store.table.WriteCondition
import kotlin.random.Random

/** A table service in memory that delays, refuses and loses answers at random, and lets lost writes land late. */
class UnreliableTable(
    private val random: Random,
    private val network: CoroutineScope,
    var faultProbability: Double,
) : TableService {
    private val rows = mutableMapOf<RowKey, Row>()
    private var lastVersion = 0L

    override suspend fun read(key: RowKey): Result<Row?, PlatformError> {
        travel()
        if (isFaulty()) return Err(PlatformError.OutcomeUnknown("read"))
        return Ok(rows[key]).also { travel() }
    }

    override suspend fun write(
        key: RowKey,
        value: String,
        condition: WriteCondition,
    ): Result<RowVersion, PlatformError> = unreliably { put(key, value, condition) }

    override suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError> =
        unreliably { remove(key, version) }

    private suspend fun <T> unreliably(change: () -> Result<T, PlatformError>): Result<T, PlatformError> {
        travel()
        if (!isFaulty()) return change().also { travel() }
        return when (random.nextInt(4)) {
            0 -> Err(PlatformError.NotExecuted("refused"))
            1 -> Err(PlatformError.OutcomeUnknown("never arrived"))
            2 -> Err(PlatformError.OutcomeUnknown("took effect")).also { change() }
            else -> Err(PlatformError.OutcomeUnknown("takes effect late")).also { landLate(change) }
        }
    }

    private fun landLate(change: () -> Result<*, PlatformError>) {
        network.launch {
            repeat(random.nextInt(1, 60)) { yield() }
            change()
        }
    }

    private fun put(key: RowKey, value: String, condition: WriteCondition): Result<RowVersion, PlatformError> {
        val row = rows[key]
        val holds =
            when (condition) {
                WriteCondition.Absent -> row == null
                is WriteCondition.Unchanged -> row?.version == condition.version
            }
        if (!holds) return Err(PlatformError.Conflict("row $key"))
        val version = RowVersion((++lastVersion).toString())
        rows[key] = Row(version, value)
        return Ok(version)
    }

    private fun remove(key: RowKey, version: RowVersion): Result<Unit, PlatformError> {
        if (rows[key]?.version != version) return Err(PlatformError.Conflict("row $key"))
        rows.remove(key)
        return Ok(Unit)
    }

    private suspend fun travel() = repeat(random.nextInt(4)) { yield() }

    private fun isFaulty() = random.nextDouble() < faultProbability
}
