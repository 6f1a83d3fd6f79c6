package toucanrelay.core.lease

import toucanrelay.core.identity.ProcessRun

/** Unique token of one write, by which its writer recognises it when the answer was lost. */
@JvmInline
public value class LeaseToken(
    public val value: String,
)

/** Fencing token that grows with each holder of a lease; an engine that checks it refuses orders with a lower one. */
@JvmInline
public value class FencingNumber(
    public val value: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    /** Returns the number of the next holder. */
    public fun next(): FencingNumber = FencingNumber(value + 1)
}

/**
 * A lease as stored in its row. The row is never deleted, so that fencing numbers never restart.
 *
 * @property holder the process run that wrote the record.
 * @property token unique token of the write.
 * @property fencingNumber the holder's fencing number.
 * @property durationMilliseconds how long the lease lasts, counted from before the write was sent.
 * @property isReleased whether the holder has released the lease.
 */
public data class LeaseRecord(
    public val holder: ProcessRun,
    public val token: LeaseToken,
    public val fencingNumber: FencingNumber,
    public val durationMilliseconds: Long,
    public val isReleased: Boolean = false,
)

/**
 * A lease's row as read from the table.
 *
 * @property version the row's version, opaque.
 * @property record the lease.
 */
public data class LeaseRow(
    public val version: String,
    public val record: LeaseRecord,
)
