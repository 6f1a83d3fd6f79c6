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

/** Carries out what a [LeaseStateMachine] decides, on the platform's table service; used by one coroutine. */
internal class LeaseKeeper(
    private val tables: TableService,
    target: TargetId,
    own: ProcessRun,
    clock: Clock,
    terms: LeaseSettings = LeaseSettings(),
) {
    private val key = RowKey(TABLE, target.value)
    private val seeker = LeaseStateMachine(own, clock, terms) { LeaseToken(UUID.randomUUID().toString()) }

    /** The fencing number for an order that is sent now; null when this process must not order. */
    fun mayOrder(): FencingNumber? = seeker.currentFencingNumber()

    /** Takes one step towards the lease, or towards keeping it. */
    suspend fun step() {
        when (val step = seeker.nextStep()) {
            LeaseStep.Read -> read()
            is LeaseStep.Write -> write(step)
            is LeaseStep.Wait -> delay(step.milliseconds.coerceAtMost(LONGEST_STEP_MILLISECONDS))
        }
    }

    /** Gives the lease back, so that a successor need not wait it out. */
    suspend fun release() {
        seeker.release()?.let { write(it) }
    }

    private suspend fun read() {
        tables
            .read(key)
            .onSuccess { row -> take(row) }
            .onFailure { seeker.onNoAnswer() }
    }

    private fun take(row: Row?) {
        val lease = row?.toLeaseRow()
        if (row != null && lease == null) {
            Logger.error("agent: the lease in row {} cannot be read", key.key)
            seeker.onNoAnswer()
        } else {
            seeker.onRead(lease)
        }
    }

    private suspend fun write(step: LeaseStep.Write) {
        val condition = step.ifVersion?.let { WriteCondition.Unchanged(RowVersion(it)) } ?: WriteCondition.Absent
        tables
            .write(key, step.record.toDocument().encode(), condition)
            .onSuccess { seeker.onWritten(step.record, it.value) }
            .onFailure { if (it is PlatformError.Conflict) seeker.onConflict() else seeker.onNoAnswer() }
    }

    private companion object {
        const val TABLE = "leases"
        const val LONGEST_STEP_MILLISECONDS = 500L
    }
}
