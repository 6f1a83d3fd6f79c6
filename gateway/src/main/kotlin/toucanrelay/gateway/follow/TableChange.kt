package toucanrelay.gateway.follow

import toucanrelay.platform.StoreRow

/**
 * Rows of a table that are to be applied to the state of this process.
 *
 * @property rows all rows if [isWhole], else the changed rows, including deleted ones.
 * @property confirmedAtMilliseconds time at which the process's state is current once the rows are applied; null if rows
 *   may be missing that the store has lost.
 * @property restoredNumber version number up to which the rows come from a copy of which the store was restored; null if
 *   it never was. Such a row may have been changed or deleted after the copy was made.
 */
internal class TableChange(
    val rows: List<StoreRow>,
    val isWhole: Boolean,
    val confirmedAtMilliseconds: Long?,
    val restoredNumber: Long? = null,
) {
    /** Returns whether [row] may be an earlier state that the store has returned to. */
    fun isRestored(row: StoreRow): Boolean = restoredNumber != null && row.version <= restoredNumber
}
