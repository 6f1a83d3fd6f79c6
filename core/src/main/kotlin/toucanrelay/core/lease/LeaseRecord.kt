package toucanrelay.core.lease

import toucanrelay.core.identity.ProcessRun

/** Tells one's own write from another's when the answer to it was lost; unique for each write. */
@JvmInline
public value class LeaseToken(
    public val value: String,
)

/** Grows with each holder of a lease; an engine that checks it refuses orders with a lower one. */
@JvmInline
public value class FencingNumber(
    public val value: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    /** The number of the next holder. */
    public fun next(): FencingNumber = FencingNumber(value + 1)
}

/**
 * A lease as it stands in its row. The row is never deleted, so that numbers never start anew.
 *
 * @property holder the run of a process that wrote it.
 * @property token names the write.
 * @property number the holder's fencing number.
 * @property durationMilliseconds how long the holder may hold it from before the write was sent.
 * @property isReleased whether the holder has given it back.
 */
public data class LeaseRecord(
    public val holder: ProcessRun,
    public val token: LeaseToken,
    public val number: FencingNumber,
    public val durationMilliseconds: Long,
    public val isReleased: Boolean = false,
)

/**
 * A lease's row as it was read.
 *
 * @property version the row's version, opaque.
 * @property record the lease.
 */
public data class LeaseRow(
    public val version: String,
    public val record: LeaseRecord,
)
