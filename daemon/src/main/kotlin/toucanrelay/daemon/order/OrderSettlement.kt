package toucanrelay.daemon.order

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import toucanrelay.core.order.ClaimToken
import toucanrelay.core.order.OrderRecord
import toucanrelay.core.order.OrderRules
import toucanrelay.store.PlatformError
import toucanrelay.store.table.RowKey

/** Moves the record of one claim to its end, by reading it and writing on the condition that it is unchanged. */
internal class OrderSettlement(
    private val table: OrderTable,
    private val row: RowKey,
    private val token: ClaimToken,
    private val rules: OrderRules,
    private val settings: OrderDeskSettings,
) {
    /** Replaces the record with [outcome]; returns whether the row is known to be settled. */
    suspend fun record(outcome: OrderRecord): Boolean =
        untilSettled { found ->
            val record = found?.record
            val isOwn = record != null && rules.mayFinish(record, token) && record != outcome
            !isOwn || table.replace(row, found.version, outcome).hasTakenEffect()
        }

    /** Removes the record; returns whether the row is known to be settled. */
    suspend fun release(): Boolean =
        untilSettled { found ->
            val record = found?.record
            val isOwn = record != null && rules.mayRelease(record, token)
            !isOwn || table.remove(row, found.version).hasTakenEffect()
        }

    /** Repeats [step] on the row as it is read each time, until it returns true. */
    private suspend fun untilSettled(step: suspend (VersionedOrder?) -> Boolean): Boolean {
        repeat(settings.attempts) { attempt ->
            val isSettled = table.read(row).fold(success = { step(it) }, failure = { false })
            if (isSettled) return true
            settings.pause.await(attempt)
        }
        return false
    }

    private fun Result<*, PlatformError>.hasTakenEffect(): Boolean = fold(success = { true }, failure = { false })
}
