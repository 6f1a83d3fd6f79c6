package toucanrelay.gateway.follow

import toucanrelay.core.time.Clock
import toucanrelay.platform.StoreRow
import toucanrelay.platform.StoreVersion

/**
 * This process's copy of a table of the store, which it also serves to other members; confined to the event loop.
 *
 * The newest deleted rows are kept, so that members with an earlier version receive the deletions.
 *
 * @param clock also has to count the time during which the instance is suspended.
 */
internal class TableCopy(
    private val clock: Clock,
) {
    private val rows = HashMap<String, StoreRow>()

    /** Time at which the rows were last confirmed to match the store; meaningless before the first update. */
    var confirmedAtMilliseconds = 0L
        private set
    private var outageEndedAtMilliseconds: Long? = null
    private var historyStartNumber = 0L

    /** Version of the store to which the copy is up to date; null before the first update. */
    var version: StoreVersion? = null
        private set

    /** The existing rows. */
    val existingRows: List<StoreRow>
        get() = rows.values.filter { it.value != null }

    /** Time since the copy was last confirmed to match the store; null before the first update. */
    val ageMilliseconds: Long?
        get() = version?.let { clock.nowMilliseconds() - confirmedAtMilliseconds }

    /** Applies [update] and returns true, or returns false if the copy is newer or the update continues another era. */
    fun apply(update: TableUpdate): Boolean {
        val known = version
        if (known != null && update.version < known) return false
        if (known != null && !update.isWhole && update.version.era != known.era) return false
        if (update.isWhole) replaceAll(update) else update.rows.forEach { rows[it.key] = it }
        dropOldestDeletedRows()
        version = update.version
        confirmedAtMilliseconds = maxOf(confirmedAtMilliseconds, update.confirmedAtMilliseconds)
        update.outageEndedMillisecondsAgo?.let { recordOutageEnd(it) }
        return true
    }

    /** Returns whether rows may have been written and deleted again between what the copy has and [update]. */
    fun mayHaveMissedRows(update: TableUpdate): Boolean =
        when {
            version == null -> false
            update.isWhole -> update.confirmedAtMilliseconds - confirmedAtMilliseconds > MIN_ROW_LIFETIME_MILLISECONDS
            else -> update.rows.any { it.value == null && it.key !in rows }
        }

    /** Records that an outage of the store ended [agoMilliseconds] ago. */
    fun recordOutageEnd(agoMilliseconds: Long) {
        val endedAt = clock.nowMilliseconds() - agoMilliseconds
        outageEndedAtMilliseconds = maxOf(endedAt, outageEndedAtMilliseconds ?: Long.MIN_VALUE)
    }

    /** Returns the changes after [after], or all rows if it is null, too old or of another era; null before any update. */
    fun updateSince(after: StoreVersion?): TableUpdate? {
        val known = version ?: return null
        val isContinuation = after != null && after.era == known.era && after.number >= historyStartNumber
        val missing =
            if (isContinuation) rows.values.filter { it.version > checkNotNull(after).number } else existingRows
        val outageEnded = outageEndedAtMilliseconds?.let { clock.nowMilliseconds() - it }
        return TableUpdate(missing, known, isWhole = !isContinuation, confirmedAtMilliseconds, outageEnded)
    }

    private fun replaceAll(update: TableUpdate) {
        rows.clear()
        update.rows.forEach { rows[it.key] = it }
        historyStartNumber = update.version.number
    }

    private fun dropOldestDeletedRows() {
        val deleted = rows.values.filter { it.value == null }
        if (deleted.size <= MAX_DELETED_ROWS) return
        deleted.sortedBy { it.version }.take(deleted.size - MAX_DELETED_ROWS).forEach { row ->
            rows.remove(row.key)
            historyStartNumber = maxOf(historyStartNumber, row.version)
        }
    }

    private companion object {
        const val MAX_DELETED_ROWS = 500

        /** A target that leaves serves for longer, and the registration of one that crashes expires after longer. */
        const val MIN_ROW_LIFETIME_MILLISECONDS = 2_000L
    }
}
