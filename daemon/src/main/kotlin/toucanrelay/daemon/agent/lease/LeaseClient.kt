package toucanrelay.daemon.agent.lease

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.TargetId
import toucanrelay.core.lease.FencingNumber
import toucanrelay.core.lease.LeaseSettings
import toucanrelay.core.lease.LeaseStateMachine
import toucanrelay.core.lease.LeaseStep
import toucanrelay.core.lease.LeaseToken
import toucanrelay.core.time.Clock
import toucanrelay.store.PlatformError
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.TableService
import toucanrelay.store.table.WriteCondition
import java.util.UUID

/**
 * Executes the steps of a [LeaseStateMachine] on the platform's table service.
 *
 * Must not be called by more than one coroutine at a time.
 */
internal class LeaseClient(
    private val tables: TableService,
    target: TargetId,
    own: ProcessRun,
    clock: Clock,
    settings: LeaseSettings = LeaseSettings(),
) {
    private val key = RowKey(TABLE, target.value)
    private val stateMachine = LeaseStateMachine(own, clock, settings) { LeaseToken(UUID.randomUUID().toString()) }

    /** Returns the fencing number for an order sent now; null when this process must not send orders. */
    fun currentFencingNumber(): FencingNumber? = stateMachine.currentFencingNumber()

    /** Executes the next step to acquire or renew the lease. */
    suspend fun step() {
        when (val step = stateMachine.nextStep()) {
            LeaseStep.Read -> read()
            is LeaseStep.Write -> write(step)
            is LeaseStep.Wait -> delay(step.milliseconds.coerceAtMost(MAX_WAIT_MILLISECONDS))
        }
    }

    /** Releases the lease, so that the next holder need not wait for it to expire. */
    suspend fun release() {
        stateMachine.release()?.let { write(it) }
    }

    private suspend fun read() {
        tables
            .read(key)
            .onSuccess { row -> onRow(row) }
            .onFailure { stateMachine.onNoAnswer() }
    }

    private fun onRow(row: Row?) {
        val lease = row?.toLeaseRow()
        if (row != null && lease == null) {
            Logger.error("agent: cannot parse the lease in row {}", key.key)
            stateMachine.onNoAnswer()
        } else {
            stateMachine.onRead(lease)
        }
    }

    private suspend fun write(step: LeaseStep.Write) {
        val condition = step.ifVersion?.let { WriteCondition.Unchanged(RowVersion(it)) } ?: WriteCondition.Absent
        tables
            .write(key, step.record.toDocument().encode(), condition)
            .onSuccess { stateMachine.onWritten(step.record, it.value) }
            .onFailure { if (it is PlatformError.Conflict) stateMachine.onConflict() else stateMachine.onNoAnswer() }
    }

    private companion object {
        const val TABLE = "leases"
        const val MAX_WAIT_MILLISECONDS = 500L
    }
}
