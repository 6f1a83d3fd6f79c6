package toucanrelay.core.lease

import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.Clock

/**
 * Gets and keeps one lease by conditional writes to its row (Gray and Cheriton, 1989), for one run of a process.
 *
 * Time is measured by each process's own monotonic clock alone. The holder counts from before its write was sent and
 * stops well before the end; a successor counts from when it first saw that version of the row and waits out the
 * duration and the clock margin. A write whose answer was lost is recognised by its token.
 *
 * The owner carries out [next] and reports the outcome; it asks [mayOrder] right before each order. Not safe for use by
 * several threads at once.
 *
 * @param own this run of the process.
 * @param clock monotonic clock of this process.
 * @param terms times of the lease.
 * @param newToken makes a token that no write had before.
 */
public class LeaseSeeker(
    private val own: ProcessRun,
    private val clock: Clock,
    private val terms: LeaseTerms,
    private val newToken: () -> LeaseToken,
) {
    private val sentWrites = LinkedHashMap<LeaseToken, SentWrite>()
    private var observed: Observation? = null
    private var held: Held? = null
    private var retryAt = Long.MIN_VALUE

    /** The fencing number for an order that is sent now; null when this process must not order. */
    public fun mayOrder(): FencingNumber? = held?.takeIf { clock.nowMilliseconds() < it.untilMilliseconds }?.number

    /** What to do now to get the lease, or to keep it. */
    public fun next(): LeaseStep {
        val now = clock.nowMilliseconds()
        if (now < retryAt) return LeaseStep.Wait(retryAt - now)
        val holding = held?.takeIf { now < it.untilMilliseconds }
        if (holding != null) {
            val renewAt = holding.untilMilliseconds - terms.renewAheadMilliseconds
            return if (now < renewAt) LeaseStep.Wait(renewAt - now) else renewal(holding)
        }
        held = null
        return acquisition(now)
    }

    /** Notes that the row was read; [row] is null when it does not exist. */
    public fun wasRead(row: LeaseRow?) {
        val now = clock.nowMilliseconds()
        if (observed?.row?.version != row?.version || observed == null) observed = Observation(row, now)
        val sent = row?.let { sentWrites[it.record.token] }
        if (row != null && sent != null && !row.record.isReleased) {
            hold(row.record, row.version, sent.atMilliseconds)
        } else if (held?.version != row?.version) {
            held = null
        }
    }

    /** Notes that the write of [record] took effect and that the row now has [version]. */
    public fun wasWritten(record: LeaseRecord, version: String) {
        observed = null
        val sent = sentWrites[record.token] ?: return
        if (record.isReleased) held = null else hold(record, version, sent.atMilliseconds)
    }

    /** Notes that a write failed its condition: the row was written by another, or by an earlier write of one's own. */
    public fun hadConflict() {
        observed = null
        held = held?.copy(version = null)
    }

    /** Notes that no answer came to a read or a write; a write may have taken effect or may yet. */
    public fun hadNoAnswer() {
        observed = observed?.copy(isCurrent = false)
        held = held?.copy(version = null)
        retryAt = clock.nowMilliseconds() + terms.retryMilliseconds
    }

    /** Gives the lease back: orders end with this call, and the returned write tells others; null when it is not held. */
    public fun release(): LeaseStep.Write? {
        val holding = held ?: return null
        held = null
        val version = holding.version ?: return null
        return write(holding.number, version, isReleased = true)
    }

    private fun renewal(holding: Held): LeaseStep {
        val version = holding.version ?: return LeaseStep.Read
        return write(holding.number, version)
    }

    private fun acquisition(now: Long): LeaseStep {
        val seen = observed ?: return LeaseStep.Read
        val row = seen.row
        if (!seen.isCurrent) return LeaseStep.Read
        if (row == null) return write(FencingNumber(1), ifVersion = null)
        val record = row.record
        val freeAt = seen.firstSeenAt + record.durationMilliseconds + terms.clockMarginMilliseconds
        val isFree = record.isReleased || record.holder == own || now >= freeAt
        return if (isFree) write(record.number.next(), row.version) else LeaseStep.Wait(freeAt - now)
    }

    private fun write(number: FencingNumber, ifVersion: String?, isReleased: Boolean = false): LeaseStep.Write {
        val token = newToken()
        sentWrites[token] = SentWrite(clock.nowMilliseconds())
        if (sentWrites.size > WRITES_REMEMBERED) sentWrites.remove(sentWrites.keys.first())
        return LeaseStep.Write(LeaseRecord(own, token, number, terms.durationMilliseconds, isReleased), ifVersion)
    }

    private fun hold(record: LeaseRecord, version: String, sentAt: Long) {
        held = Held(record.number, version, sentAt + terms.usableMilliseconds)
    }

    private data class SentWrite(
        val atMilliseconds: Long,
    )

    private data class Observation(
        val row: LeaseRow?,
        val firstSeenAt: Long,
        val isCurrent: Boolean = true,
    )

    private data class Held(
        val number: FencingNumber,
        val version: String?,
        val untilMilliseconds: Long,
    )

    private companion object {
        /** Writes whose tokens are remembered; a lost write that lands later than so many counts as another's. */
        const val WRITES_REMEMBERED = 64
    }
}
