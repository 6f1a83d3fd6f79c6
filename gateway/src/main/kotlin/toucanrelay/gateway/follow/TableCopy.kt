package toucanrelay.gateway.follow

import toucanrelay.core.time.Clock
import toucanrelay.platform.StoreRow

/**
 * This process's copy of a table of the store, from which it also answers other members; confined to the event loop.
 *
 * Deleted rows are kept for a while, so that members that know an earlier version learn of them.
 *
 * @param clock a clock that also counts the time during which the instance is suspended.
 */
internal class TableCopy(
    private val clock: Clock,
) {
    private val rows = HashMap<String, StoreRow>()
    private var confirmedAtMilliseconds = 0L
    private var outageEndedAtMilliseconds: Long? = null
    private var changesKnownAfter = 0L

    /** The store's version up to which the copy is known to be right; null before the first look. */
    var version: Long? = null
        private set

    /** Time since the copy was known to be what the store holds; null before the first look. */
    val ageMilliseconds: Long?
        get() = version?.let { clock.nowMilliseconds() - confirmedAtMilliseconds }

    /** Takes [news]; returns false when the copy is newer already. */
    fun take(news: TableNews): Boolean {
        val known = version
        if (known != null && news.version < known) return false
        if (news.isWhole) replaceAll(news) else news.rows.forEach { rows[it.key] = it }
        forgetOldestDeleted()
        version = news.version
        confirmedAtMilliseconds = maxOf(confirmedAtMilliseconds, news.confirmedAtMilliseconds)
        news.outageEndedMillisecondsAgo?.let { noteOutageEnded(it) }
        return true
    }

    /** Notes that the store came back from an outage [agoMilliseconds] ago. */
    fun noteOutageEnded(agoMilliseconds: Long) {
        val endedAt = clock.nowMilliseconds() - agoMilliseconds
        outageEndedAtMilliseconds = maxOf(endedAt, outageEndedAtMilliseconds ?: Long.MIN_VALUE)
    }

    /** What somebody misses who knows [after], as of now; null while nothing is known here. */
    fun newsAfter(after: Long?): TableNews? {
        val known = version ?: return null
        val isWhole = after == null || after < changesKnownAfter
        val missing = rows.values.filter { if (isWhole) it.value != null else it.version > checkNotNull(after) }
        val outageEnded = outageEndedAtMilliseconds?.let { clock.nowMilliseconds() - it }
        return TableNews(missing, known, isWhole, confirmedAtMilliseconds, outageEnded)
    }

    private fun replaceAll(news: TableNews) {
        rows.clear()
        news.rows.forEach { rows[it.key] = it }
        changesKnownAfter = news.version
    }

    private fun forgetOldestDeleted() {
        val deleted = rows.values.filter { it.value == null }
        if (deleted.size <= MOST_DELETED) return
        deleted.sortedBy { it.version }.take(deleted.size - MOST_DELETED).forEach { row ->
            rows.remove(row.key)
            changesKnownAfter = maxOf(changesKnownAfter, row.version)
        }
    }

    private companion object {
        const val MOST_DELETED = 500
    }
}
