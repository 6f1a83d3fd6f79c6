package toucanrelay.gateway.follow

import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import toucanrelay.core.following.LookPolicy
import toucanrelay.core.following.NextLook
import toucanrelay.core.following.TableKnowledge
import toucanrelay.core.time.Clock
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.TableOffer
import toucanrelay.platform.StoreError
import toucanrelay.platform.TableReader

/** Follows one table for as long as the process runs: from the store, or by way of members that read it. */
internal class TableFollower(
    private val table: FollowedTable,
    private val copy: TableCopy,
    private val store: TableReader,
    private val members: MemberTableClient,
    private val fleet: FleetView,
    private val clock: Clock,
    private val log: EventLog,
) {
    private var lostAtMilliseconds: Long? = null
    private var failures = 0
    private var calledAtMilliseconds: Long? = null

    /** Follows the table until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val offer = fleet.bestOffer(table.name)
            when (LookPolicy.decide(knowledge(offer))) {
                NextLook.STORE -> askStore()
                NextLook.MEMBER -> offer?.let { askMember(it) }
                NextLook.LATER -> delay(PAUSE_MILLISECONDS)
            }
        }
    }

    private fun knowledge(offer: TableOffer?) =
        TableKnowledge(
            ownAgeMilliseconds = copy.ageMilliseconds,
            memberAgeMilliseconds = offer?.ageMilliseconds,
            rank = fleet.readerRank(),
            failures = failures,
            sinceCallMilliseconds = calledAtMilliseconds?.let { clock.nowMilliseconds() - it },
            isUrgent = table.isUrgent,
        )

    private suspend fun askStore() {
        val askedAt = clock.nowMilliseconds()
        val known = copy.version
        val answer =
            if (known == null) store.rows(table.nameInStore) else store.changes(table.nameInStore, known)
        calledAtMilliseconds = clock.nowMilliseconds()
        answer
            .map { TableNews(it.rows, it.version, isWhole = known == null, askedAt, outageEndedMillisecondsAgo = null) }
            .onSuccess { takeFromStore(it) }
            .onFailure { noteFailure(it, askedAt) }
    }

    private fun takeFromStore(news: TableNews) {
        failures = 0
        lostAtMilliseconds?.let { noteRegained(it) }
        take(news)
    }

    /** Members that went on reading make an outage one of this process alone, after which nothing was missed. */
    private fun noteRegained(lostAt: Long) {
        lostAtMilliseconds = null
        val age = copy.ageMilliseconds
        val isOutage = age == null || age >= LEAST_OUTAGE_MILLISECONDS
        log.write(
            "store-regained",
            "table" to table.name,
            "outageMs" to clock.nowMilliseconds() - lostAt,
            "isOutageOfFleet" to isOutage,
        )
        if (!isOutage) return
        copy.noteOutageEnded(0)
        table.noteOutageEnded(0)
    }

    private suspend fun askMember(offer: TableOffer) {
        val address = offer.address.copy(port = offer.address.port + TABLE_PORT_OFFSET)
        members
            .read(address, table.name, copy.version)
            .onSuccess { news ->
                news.outageEndedMillisecondsAgo?.let { table.noteOutageEnded(it) }
                take(news)
            }.onFailure { detail ->
                fleet.noteOfferFailed(offer)
                log.write("member-silent", "table" to table.name, "member" to offer.instance, "detail" to detail)
            }
    }

    private fun take(news: TableNews) {
        if (copy.take(news)) table.take(news.rows, news.isWhole, news.confirmedAtMilliseconds)
    }

    private suspend fun noteFailure(error: StoreError, askedAt: Long) {
        if (error == StoreError.HistoryGone) {
            log.write("store-history-gone", "table" to table.name, "version" to copy.version)
            return readWhole(askedAt)
        }
        failures++
        if (lostAtMilliseconds == null) {
            lostAtMilliseconds = askedAt
            log.write("store-lost", "table" to table.name, "detail" to error.detail)
        }
    }

    private suspend fun readWhole(askedAt: Long) {
        store
            .rows(table.nameInStore)
            .map { TableNews(it.rows, it.version, isWhole = true, askedAt, outageEndedMillisecondsAgo = null) }
            .onSuccess { takeFromStore(it) }
            .onFailure { error -> if (error != StoreError.HistoryGone) noteFailure(error, askedAt) else failures++ }
        calledAtMilliseconds = clock.nowMilliseconds()
    }

    internal companion object {
        /** The port for tables comes after those for datagrams and for metrics. */
        const val TABLE_PORT_OFFSET = 2
        private const val PAUSE_MILLISECONDS = 50L
        private const val LEAST_OUTAGE_MILLISECONDS = 1_500L
    }
}
