package toucanrelay.daemon.order

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import toucanrelay.core.order.ClaimToken
import toucanrelay.core.order.OrderRecord
import toucanrelay.core.order.OrderRules
import toucanrelay.store.PlatformError
import toucanrelay.store.table.RowKey

/**
 * Records the outcome of one claim or releases it, by reading its row and writing it on condition that it is unchanged.
 *
 * The row is settled once it contains the outcome or no longer contains a record that the claim may replace.
 */
internal class OrderSettlement(
    private val table: OrderTable,
    private val row: RowKey,
    private val token: ClaimToken,
    private val rules: OrderRules,
    private val settings: OrderRegistrySettings,
) {
    /** Replaces the record of the claim with [outcome]; returns whether the row is confirmed to be settled. */
    suspend fun record(outcome: OrderRecord): Boolean =
        retryUntilSettled { found ->
            val record = found?.record
            val needsChange = record != null && rules.mayFinish(record, token) && record != outcome
            !needsChange || table.replace(row, found.version, outcome).isSuccess()
        }

    /** Removes the record of the claim; returns whether the row is confirmed to be settled. */
    suspend fun release(): Boolean =
        retryUntilSettled { found ->
            val record = found?.record
            val needsChange = record != null && rules.mayRelease(record, token)
            !needsChange || table.remove(row, found.version).isSuccess()
        }

    /** Reads the row and runs [step] on it, for the configured number of attempts or until [step] returns true. */
    private suspend fun retryUntilSettled(step: suspend (VersionedOrder?) -> Boolean): Boolean {
        repeat(settings.maxAttempts) { attempt ->
            val isSettled = table.read(row).fold(success = { step(it) }, failure = { false })
            if (isSettled) return true
            settings.backoff.await(attempt)
        }
        return false
    }

    private fun Result<*, PlatformError>.isSuccess(): Boolean = fold(success = { true }, failure = { false })
}
