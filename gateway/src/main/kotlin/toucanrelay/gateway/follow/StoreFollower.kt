package toucanrelay.gateway.follow

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import toucanrelay.core.time.Clock
import toucanrelay.gateway.log.EventLog
import toucanrelay.platform.Snapshot
import toucanrelay.platform.StoreError

/** A table of the store that can be followed. */
internal interface FollowedTable<T> {
    /** The table's name in logs. */
    val name: String

    /** Time that the store may hold back an answer while nothing changes. */
    val waitMilliseconds: Long

    /** Time between an answer and the next question. */
    val pauseMilliseconds: Long

    /** Reads everything that stands now. */
    suspend fun read(): Result<Snapshot<T>, StoreError>

    /** Reads changes after [version]. */
    suspend fun changes(version: Long, waitMilliseconds: Long): Result<Snapshot<T>, StoreError>

    /** Takes [entries], which replace everything known when [isWhole]; the question was sent at [askedAtMilliseconds]. */
    fun take(entries: List<T>, isWhole: Boolean, askedAtMilliseconds: Long)

    /** Notes that the store answers again after [outageMilliseconds]. */
    fun noteRegained(outageMilliseconds: Long)
}

/** Follows one table of the store for as long as the process runs. */
internal class StoreFollower<T>(
    private val table: FollowedTable<T>,
    private val clock: Clock,
    private val log: EventLog,
) {
    private var version: Long? = null
    private var lostAtMilliseconds: Long? = null
    private var failures = 0

    /** Follows the table until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            step()
            delay(if (failures == 0) table.pauseMilliseconds else retryDelay())
        }
    }

    private suspend fun step() {
        val askedAt = clock.nowMilliseconds()
        val known = version
        val wait = if (failures > 0) 0 else table.waitMilliseconds
        val answer = if (known == null) table.read() else table.changes(known, wait)
        answer
            .onSuccess { snapshot -> take(snapshot, known == null, askedAt) }
            .onFailure { error -> noteFailure(error, askedAt) }
    }

    private fun take(snapshot: Snapshot<T>, isWhole: Boolean, askedAt: Long) {
        lostAtMilliseconds?.let { noteRegained(it) }
        failures = 0
        version = snapshot.version
        table.take(snapshot.entries, isWhole, askedAt)
    }

    private fun noteRegained(lostAt: Long) {
        val outage = clock.nowMilliseconds() - lostAt
        lostAtMilliseconds = null
        log.write("store-regained", "table" to table.name, "outageMs" to outage)
        table.noteRegained(outage)
    }

    private fun noteFailure(error: StoreError, askedAt: Long) {
        if (error == StoreError.HistoryGone) {
            log.write("store-history-gone", "table" to table.name, "version" to version)
            version = null
            return
        }
        failures++
        if (lostAtMilliseconds == null) {
            lostAtMilliseconds = askedAt
            log.write("store-lost", "table" to table.name, "detail" to error.detail)
        }
    }

    private fun retryDelay(): Long = minOf(FIRST_RETRY_MILLISECONDS * failures, LONGEST_RETRY_MILLISECONDS)

    private companion object {
        const val FIRST_RETRY_MILLISECONDS = 100L
        const val LONGEST_RETRY_MILLISECONDS = 500L
    }
}
