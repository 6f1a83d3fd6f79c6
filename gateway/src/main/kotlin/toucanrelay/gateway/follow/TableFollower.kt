package toucanrelay.gateway.follow

import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import toucanrelay.core.following.RefreshAction
import toucanrelay.core.following.RefreshPolicy
import toucanrelay.core.following.RefreshState
import toucanrelay.core.time.Clock
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.TableOffer
import toucanrelay.gateway.settings.GatewaySettings
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
            when (RefreshPolicy.decide(knowledge(offer))) {
                RefreshAction.READ_STORE -> askStore()
                RefreshAction.READ_MEMBER -> offer?.let { askMember(it) }
                RefreshAction.WAIT -> delay(PAUSE_MILLISECONDS)
            }
        }
    }

    private fun knowledge(offer: TableOffer?) =
        RefreshState(
            ownAgeMilliseconds = copy.ageMilliseconds,
            memberAgeMilliseconds = offer?.ageMilliseconds,
            rank = fleet.readerRank(),
            failures = failures,
            sinceStoreCallMilliseconds = calledAtMilliseconds?.let { clock.nowMilliseconds() - it },
            isUrgent = table.isUrgent,
        )

    /** Asks for changes after version [after], or for all rows when it is null or the store has forgotten it. */
    private suspend fun askStore(after: Long? = copy.version) {
        val askedAt = clock.nowMilliseconds()
        val answer =
            if (after == null) store.rows(table.nameInStore) else store.changes(table.nameInStore, after)
        calledAtMilliseconds = clock.nowMilliseconds()
        answer
            .map { TableNews(it.rows, it.version, isWhole = after == null, askedAt, outageEndedMillisecondsAgo = null) }
            .onSuccess { takeFromStore(it) }
            .onFailure { error ->
                if (error == StoreError.HistoryGone && after != null) {
                    log.write("store-history-gone", "table" to table.name, "version" to after)
                    askStore(after = null)
                } else {
                    noteFailure(error, askedAt)
                }
            }
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
        val address = offer.address.copy(port = offer.address.port + GatewaySettings.TABLE_PORT_OFFSET)
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

    private fun noteFailure(error: StoreError, askedAt: Long) {
        failures++
        if (lostAtMilliseconds != null) return
        lostAtMilliseconds = askedAt
        log.write("store-lost", "table" to table.name, "detail" to error.detail)
    }

    private companion object {
        const val PAUSE_MILLISECONDS = 50L
        const val LEAST_OUTAGE_MILLISECONDS = 1_500L
    }
}
