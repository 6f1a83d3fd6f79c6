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

/** An in-memory table service that at random delays or refuses calls, loses responses, and applies lost writes late. */
class UnreliableTable(
    private val random: Random,
    private val network: CoroutineScope,
    var faultProbability: Double,
) : TableService {
    private val rows = mutableMapOf<RowKey, Row>()
    private var lastVersion = 0L

    override suspend fun read(key: RowKey): Result<Row?, PlatformError> {
        delayRandomly()
        if (isFaulty()) return Err(PlatformError.OutcomeUnknown("read"))
        return Ok(rows[key]).also { delayRandomly() }
    }

    override suspend fun write(
        key: RowKey,
        value: String,
        condition: WriteCondition,
    ): Result<RowVersion, PlatformError> = withFaults { put(key, value, condition) }

    override suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError> =
        withFaults { remove(key, version) }

    private suspend fun <T> withFaults(change: () -> Result<T, PlatformError>): Result<T, PlatformError> {
        delayRandomly()
        if (!isFaulty()) return change().also { delayRandomly() }
        return when (random.nextInt(4)) {
            0 -> Err(PlatformError.NotExecuted("refused"))
            1 -> Err(PlatformError.OutcomeUnknown("request lost"))
            2 -> Err(PlatformError.OutcomeUnknown("response lost")).also { change() }
            else -> Err(PlatformError.OutcomeUnknown("applied late")).also { applyLate(change) }
        }
    }

    private fun applyLate(change: () -> Result<*, PlatformError>) {
        network.launch {
            repeat(random.nextInt(1, 60)) { yield() }
            change()
        }
    }

    private fun put(key: RowKey, value: String, condition: WriteCondition): Result<RowVersion, PlatformError> {
        val row = rows[key]
        val isConditionMet =
            when (condition) {
                WriteCondition.Absent -> row == null
                is WriteCondition.Unchanged -> row?.version == condition.version
            }
        if (!isConditionMet) return Err(PlatformError.Conflict("row $key"))
        val version = RowVersion((++lastVersion).toString())
        rows[key] = Row(version, value)
        return Ok(version)
    }

    private fun remove(key: RowKey, version: RowVersion): Result<Unit, PlatformError> {
        if (rows[key]?.version != version) return Err(PlatformError.Conflict("row $key"))
        rows.remove(key)
        return Ok(Unit)
    }

    private suspend fun delayRandomly() = repeat(random.nextInt(4)) { yield() }

    private fun isFaulty() = random.nextDouble() < faultProbability
}
