package toucanrelay.gateway.follow

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
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
import toucanrelay.platform.StoreRow
import toucanrelay.platform.StoreVersion
import toucanrelay.platform.TableReader

/** Keeps the copy of one table up to date, from the store or from other members that read it. */
internal class TableFollower(
    private val table: FollowedTable,
    private val copy: TableCopy,
    private val store: TableReader,
    private val members: TableCopyClient,
    private val fleet: FleetView,
    private val clock: Clock,
    private val log: EventLog,
    scope: CoroutineScope,
) {
    private var storeLostAtMilliseconds: Long? = null
    private var failures = 0
    private var lastStoreCallAtMilliseconds: Long? = null
    private val restore = RestoreSettling(clock)
    private val sharedRead = SharedRead(scope) { readStore() }

    /** Whether the copy has rows that could not be applied to the process's state. */
    private var isBehind = false

    /** Name of the task that [run] is. */
    val taskName: String
        get() = "follow-${table.name}"

    /** Refreshes the copy until the coroutine is cancelled; after a failure it can be called again. */
    suspend fun run() {
        while (true) {
            if (restore.hasSettled()) applyRestored()
            val offer = fleet.bestOffer(table.name, copy.version?.era ?: 0)
            when (RefreshPolicy.decide(refreshState(offer))) {
                RefreshAction.READ_STORE -> readStore()
                RefreshAction.READ_MEMBER -> offer?.let { readMember(it) }
                RefreshAction.WAIT -> delay(WAIT_MILLISECONDS)
            }
        }
    }

    /**
     * Reads the store, however recent the copy is, and returns whether the process's state has all rows of a moment after
     * the call.
     */
    suspend fun refresh(): Boolean = sharedRead.await()

    private fun refreshState(offer: TableOffer?) =
        RefreshState(
            ownAgeMilliseconds = copy.ageMilliseconds,
            memberAgeMilliseconds = offer?.ageMilliseconds,
            rank = fleet.readerRank(),
            failures = failures,
            sinceStoreCallMilliseconds = lastStoreCallAtMilliseconds?.let { clock.nowMilliseconds() - it },
            isUrgent = table.isUrgent,
        )

    /**
     * Reads the changes after version [after], or all rows if [after] is null or older than the store's history.
     *
     * Returns whether the process's state has all rows that the store had then.
     */
    private suspend fun readStore(after: StoreVersion? = copy.version): Boolean {
        val requestedAt = clock.nowMilliseconds()
        val answer =
            if (after == null) store.rows(table.nameInStore) else store.changes(table.nameInStore, after)
        lastStoreCallAtMilliseconds = clock.nowMilliseconds()
        val read =
            answer.getOrElse { error ->
                if (error != StoreError.HistoryGone || after == null) {
                    recordFailure(error, requestedAt)
                    return false
                }
                log.write("store-history-gone", "table" to table.name, "version" to after)
                return readStore(after = null)
            }
        applyFromStore(
            TableUpdate(
                read.rows,
                read.version,
                isWhole = after == null,
                requestedAt,
                outageEndedMillisecondsAgo = null,
            ),
        )
        return !restore.isSettling
    }

    private fun applyFromStore(update: TableUpdate) {
        failures = 0
        storeLostAtMilliseconds?.let { recordRecovery(it) }
        apply(update)
    }

    /**
     * Records that the store responds again after failures since [lostAt].
     *
     * If the copy was kept fresh by other members that could still read, only this process had lost the store, so no
     * outage of the store is recorded.
     */
    private fun recordRecovery(lostAt: Long) {
        storeLostAtMilliseconds = null
        val age = copy.ageMilliseconds
        val isOutage = age == null || age >= MIN_OUTAGE_MILLISECONDS
        log.write(
            "store-regained",
            "table" to table.name,
            "outageMs" to clock.nowMilliseconds() - lostAt,
            "isOutageOfFleet" to isOutage,
        )
        if (!isOutage) return
        copy.recordOutageEnd(0)
        table.recordOutageEnd(0)
    }

    private suspend fun readMember(offer: TableOffer) {
        val address = offer.address.copy(port = offer.address.port + GatewaySettings.TABLE_PORT_OFFSET)
        members
            .read(address, table.name, copy.version)
            .onSuccess { update ->
                update.outageEndedMillisecondsAgo?.let { table.recordOutageEnd(it) }
                if (!apply(update)) fleet.recordFailedOffer(offer)
            }.onFailure { detail ->
                fleet.recordFailedOffer(offer)
                log.write("member-silent", "table" to table.name, "member" to offer.instance, "detail" to detail)
            }
    }

    /** Applies [update] and returns true, or returns false if the copy is newer. */
    private fun apply(update: TableUpdate): Boolean {
        val previous = copy.version
        val mayHaveMissedRows = copy.mayHaveMissedRows(update)
        if (!copy.apply(update)) return false
        if (mayHaveMissedRows) table.recordMissedRows()
        if (previous != null && update.version.era > previous.era) recordRestore(previous, update)
        when {
            isBehind && !restore.isSettling -> applyCopy()
            !restore.isSettling -> applyRows(update.rows, update.isWhole, update.confirmedAtMilliseconds)
            !update.isWhole -> applyRows(update.rows, isWhole = false, confirmedAtMilliseconds = null)
        }
        return true
    }

    /** Keeps the process's state for now, since what the store lost is written again shortly after the restore. */
    private fun recordRestore(previous: StoreVersion, update: TableUpdate) {
        restore.begin(update.version.number)
        table.recordOutageEnd(0)
        log.write("store-restored", "table" to table.name, "version" to previous, "restoredVersion" to update.version)
    }

    private fun applyRestored() {
        restore.end()
        applyCopy()
    }

    private fun applyCopy() {
        applyRows(copy.existingRows, isWhole = true, copy.confirmedAtMilliseconds)
    }

    /** Applies [rows]; if that fails, the whole copy is applied with the next update, since it already has the rows. */
    private fun applyRows(rows: List<StoreRow>, isWhole: Boolean, confirmedAtMilliseconds: Long?) {
        isBehind = true
        table.apply(TableChange(rows, isWhole, confirmedAtMilliseconds, restore.restoredNumber))
        isBehind = false
    }

    private fun recordFailure(error: StoreError, requestedAt: Long) {
        failures++
        if (storeLostAtMilliseconds != null) return
        storeLostAtMilliseconds = requestedAt
        log.write("store-lost", "table" to table.name, "detail" to error.detail)
    }

    private companion object {
        const val WAIT_MILLISECONDS = 50L
        const val MIN_OUTAGE_MILLISECONDS = 1_500L
    }
}
