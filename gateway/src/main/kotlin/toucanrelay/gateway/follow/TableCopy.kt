package toucanrelay.gateway.follow

import toucanrelay.core.time.Clock
import toucanrelay.platform.StoreRow

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
    private var confirmedAtMilliseconds = 0L
    private var outageEndedAtMilliseconds: Long? = null
    private var historyStartVersion = 0L

    /** Version of the store to which the copy is up to date; null before the first update. */
    var version: Long? = null
        private set

    /** Time since the copy was last confirmed to match the store; null before the first update. */
    val ageMilliseconds: Long?
        get() = version?.let { clock.nowMilliseconds() - confirmedAtMilliseconds }

    /** Applies [update] and returns true, or returns false if the copy is newer. */
    fun apply(update: TableUpdate): Boolean {
        val known = version
        if (known != null && update.version < known) return false
        if (update.isWhole) replaceAll(update) else update.rows.forEach { rows[it.key] = it }
        dropOldestDeletedRows()
        version = update.version
        confirmedAtMilliseconds = maxOf(confirmedAtMilliseconds, update.confirmedAtMilliseconds)
        update.outageEndedMillisecondsAgo?.let { recordOutageEnd(it) }
        return true
    }

    /** Records that an outage of the store ended [agoMilliseconds] ago. */
    fun recordOutageEnd(agoMilliseconds: Long) {
        val endedAt = clock.nowMilliseconds() - agoMilliseconds
        outageEndedAtMilliseconds = maxOf(endedAt, outageEndedAtMilliseconds ?: Long.MIN_VALUE)
    }

    /** Returns the changes after [after], or all rows if it is null or too old; null before the first update. */
    fun updateSince(after: Long?): TableUpdate? {
        val known = version ?: return null
        val isWhole = after == null || after < historyStartVersion
        val missing = rows.values.filter { if (isWhole) it.value != null else it.version > checkNotNull(after) }
        val outageEnded = outageEndedAtMilliseconds?.let { clock.nowMilliseconds() - it }
        return TableUpdate(missing, known, isWhole, confirmedAtMilliseconds, outageEnded)
    }

    private fun replaceAll(update: TableUpdate) {
        rows.clear()
        update.rows.forEach { rows[it.key] = it }
        historyStartVersion = update.version
    }

    private fun dropOldestDeletedRows() {
        val deleted = rows.values.filter { it.value == null }
        if (deleted.size <= MAX_DELETED_ROWS) return
        deleted.sortedBy { it.version }.take(deleted.size - MAX_DELETED_ROWS).forEach { row ->
            rows.remove(row.key)
            historyStartVersion = maxOf(historyStartVersion, row.version)
        }
    }

    private companion object {
        const val MAX_DELETED_ROWS = 500
    }
}
