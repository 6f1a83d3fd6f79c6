package toucanrelay.core.lease

import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.Clock

/**
 * Acquires and renews one lease by conditional writes to its row (Gray and Cheriton, 1989), for one run of a process.
 *
 * Each process measures time by its own monotonic clock only. The holder counts from before its write was sent and
 * stops sending orders well before the lease ends; a successor counts from when it first read that version of the row
 * and waits for the duration plus the clock margin. A write whose answer was lost is recognised by its token.
 *
 * The caller executes [nextStep] and reports the outcome; it calls [currentFencingNumber] right before each order.
 *
 * Not thread-safe.
 *
 * @param self this run of the process.
 * @param clock monotonic clock of this process.
 * @param settings timing of the lease.
 * @param newToken generates a token that no other write uses.
 */
public class LeaseStateMachine(
    private val self: ProcessRun,
    private val clock: Clock,
    private val settings: LeaseSettings,
    private val newToken: () -> LeaseToken,
) {
    private val sentWrites = LinkedHashMap<LeaseToken, SentWrite>()
    private var observed: ObservedRow? = null
    private var held: HeldLease? = null
    private var retryAtMilliseconds = Long.MIN_VALUE

    /** Returns the fencing number for an order sent now; null when this process must not send orders. */
    public fun currentFencingNumber(): FencingNumber? =
        held?.takeIf { clock.nowMilliseconds() < it.usableUntilMilliseconds }?.fencingNumber

    /** Returns the next step to acquire or renew the lease. */
    public fun nextStep(): LeaseStep {
        val now = clock.nowMilliseconds()
        if (now < retryAtMilliseconds) return LeaseStep.Wait(retryAtMilliseconds - now)
        val lease = held?.takeIf { now < it.usableUntilMilliseconds }
        if (lease != null) {
            val renewAt = lease.usableUntilMilliseconds - settings.renewAheadMilliseconds
            return if (now < renewAt) LeaseStep.Wait(renewAt - now) else renewalStep(lease)
        }
        held = null
        return acquisitionStep(now)
    }

    /** Handles a completed read; [row] is null when the row does not exist. */
    public fun onRead(row: LeaseRow?) {
        val now = clock.nowMilliseconds()
        val known = observed?.takeIf { it.row?.version == row?.version }
        observed = known?.copy(isCurrent = true) ?: ObservedRow(row, now)
        val sent = row?.let { sentWrites[it.record.token] }
        if (row != null && sent != null && !row.record.isReleased) {
            hold(row.record, row.version, sent.atMilliseconds)
        } else if (held?.version != row?.version) {
            held = null
        }
    }

    /** Handles a successful write of [record]; the row now has [version]. */
    public fun onWritten(record: LeaseRecord, version: String) {
        observed = null
        val sent = sentWrites[record.token] ?: return
        if (record.isReleased) held = null else hold(record, version, sent.atMilliseconds)
    }

    /** Handles a failed write condition: another process or an earlier write of this one has changed the row. */
    public fun onConflict() {
        observed = null
        held = held?.copy(version = null)
    }

    /** Handles a read or write without an answer; a write may have taken effect or may still do so. */
    public fun onNoAnswer() {
        observed = observed?.copy(isCurrent = false)
        held = held?.copy(version = null)
        retryAtMilliseconds = clock.nowMilliseconds() + settings.retryMilliseconds
    }

    /**
     * Releases the lease: this process sends no orders from this call on.
     *
     * @return the write that frees the row for others; null when the lease is not held or the row version is unknown.
     */
    public fun release(): LeaseStep.Write? {
        val lease = held ?: return null
        held = null
        val version = lease.version ?: return null
        return write(lease.fencingNumber, version, isReleased = true)
    }

    private fun renewalStep(lease: HeldLease): LeaseStep {
        val version = lease.version ?: return LeaseStep.Read
        return write(lease.fencingNumber, version)
    }

    private fun acquisitionStep(now: Long): LeaseStep {
        val observation = observed ?: return LeaseStep.Read
        val row = observation.row
        if (!observation.isCurrent) return LeaseStep.Read
        if (row == null) return write(FencingNumber(1), ifVersion = null)
        val record = row.record
        val freeAt =
            observation.firstReadAtMilliseconds + record.durationMilliseconds + settings.clockMarginMilliseconds
        val isFree = record.isReleased || record.holder == self || now >= freeAt
        return if (isFree) write(record.fencingNumber.next(), row.version) else LeaseStep.Wait(freeAt - now)
    }

    private fun write(number: FencingNumber, ifVersion: String?, isReleased: Boolean = false): LeaseStep.Write {
        val token = newToken()
        sentWrites[token] = SentWrite(clock.nowMilliseconds())
        if (sentWrites.size > MAX_TRACKED_WRITES) sentWrites.remove(sentWrites.keys.first())
        return LeaseStep.Write(LeaseRecord(self, token, number, settings.durationMilliseconds, isReleased), ifVersion)
    }

    private fun hold(record: LeaseRecord, version: String, sentAt: Long) {
        held = HeldLease(record.fencingNumber, version, sentAt + settings.usableMilliseconds)
    }

    private data class SentWrite(
        val atMilliseconds: Long,
    )

    private data class ObservedRow(
        val row: LeaseRow?,
        val firstReadAtMilliseconds: Long,
        val isCurrent: Boolean = true,
    )

    private data class HeldLease(
        val fencingNumber: FencingNumber,
        val version: String?,
        val usableUntilMilliseconds: Long,
    )

    private companion object {
        /** Number of own writes recognised by token; an older one taking effect late counts as that of another process. */
        const val MAX_TRACKED_WRITES = 64
    }
}
