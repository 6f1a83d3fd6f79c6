package toucanrelay.gateway.follow

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.TaskSupervisor
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.TableAgeEntry
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.platform.StoreError
import toucanrelay.platform.StoreRow
import toucanrelay.platform.StoreRows
import toucanrelay.platform.StoreVersion
import toucanrelay.platform.TableReader
import toucanrelay.platform.standin.ReservedPorts

private const val LOOPBACK = "127.0.0.1"
private const val TIMEOUT_MILLISECONDS = 20_000L
private const val MEMBER_COPY_AGE_MILLISECONDS = 1_000L

/** A store that refuses all reads. */
private object RefusingStore : TableReader {
    override suspend fun rows(table: String): Result<StoreRows, StoreError> = Err(StoreError.Refused(503))

    override suspend fun changes(table: String, version: StoreVersion): Result<StoreRows, StoreError> =
        Err(StoreError.Refused(503))
}

private class ReadableStore : TableReader {
    override suspend fun rows(table: String): Result<StoreRows, StoreError> =
        Ok(StoreRows(listOf(StoreRow("key", "value".toByteArray(), 5)), StoreVersion(0, 7)))

    override suspend fun changes(table: String, version: StoreVersion): Result<StoreRows, StoreError> =
        Ok(StoreRows(emptyList(), version.copy(number = version.number + 1)))
}

/** A store whose table has a new row at each read of changes. */
private class GrowingStore : TableReader {
    override suspend fun rows(table: String): Result<StoreRows, StoreError> =
        Ok(StoreRows(listOf(StoreRow("key-0", "value".toByteArray(), 0)), StoreVersion(0, 0)))

    override suspend fun changes(table: String, version: StoreVersion): Result<StoreRows, StoreError> {
        val next = version.number + 1
        return Ok(StoreRows(listOf(StoreRow("key-$next", "value".toByteArray(), next)), StoreVersion(0, next)))
    }
}

/** A table that throws [failure] when [failingKey] is first applied to it. */
private class FailingTable(
    private val failingKey: String,
    private val failure: Throwable,
) : FollowedTable {
    override val name = "recorded"
    override val nameInStore = "recorded"
    override val isUrgent = false
    private var hasFailed = false
    val keys = mutableSetOf<String>()

    override fun apply(change: TableChange) {
        if (!hasFailed && change.rows.any { it.key == failingKey }) {
            hasFailed = true
            throw failure
        }
        if (change.isWhole) keys.clear()
        change.rows.forEach { keys += it.key }
    }

    override fun recordOutageEnd(agoMilliseconds: Long) = Unit

    override fun recordMissedRows() = Unit
}

private class RecordedTable : FollowedTable {
    override val name = "recorded"
    override val nameInStore = "recorded"
    override val isUrgent = false
    val keys = mutableListOf<String>()
    var confirmedAtMilliseconds: Long? = null
    var outageEndedMillisecondsAgo: Long? = null

    override fun apply(change: TableChange) {
        change.rows.forEach { keys += it.key }
        confirmedAtMilliseconds = change.confirmedAtMilliseconds
    }

    override fun recordOutageEnd(agoMilliseconds: Long) {
        outageEndedMillisecondsAgo = agoMilliseconds
    }

    override fun recordMissedRows() = Unit
}

class TableFollowerTest :
    DescribeSpec({
        val clock = MonotonicClock

        suspend fun follow(
            store: TableReader,
            memberPort: Int?,
            memberConfirmedAt: Long = 0,
            check: suspend (RecordedTable, TableCopy) -> Unit,
        ) {
            val vertx = Vertx.vertx()
            val scope = CoroutineScope(vertx.orCreateContext.dispatcher() + Job())
            withContext(scope.coroutineContext) {
                val fleet = FleetView(InstanceId("self"), null, clock) { null }
                if (memberPort != null) {
                    val tables = listOf(TableAgeEntry("recorded", 0))
                    val port = memberPort - GatewaySettings.TABLE_PORT_OFFSET
                    fleet.recordDigest(MemberDigest("member", 1, 1, tables = tables), TargetAddress(LOOPBACK, port))
                    serveMember(vertx, memberPort, memberConfirmedAt)
                }
                val table = RecordedTable()
                val copy = TableCopy(clock)
                val client = TableCopyClient(vertx, clock)
                val follower = TableFollower(table, copy, store, client, fleet, clock, EventLog(clock), scope)
                val running = scope.launch { follower.run() }
                withTimeout(TIMEOUT_MILLISECONDS) { while (copy.version == null) delay(10) }
                check(table, copy)
                running.cancel()
            }
            vertx.close().coAwait()
        }

        describe("a process whose reads the store refuses") {
            it("copies the table from a member and counts its age from before the request") {
                val port = ReservedPorts.take()
                val confirmedAt = clock.nowMilliseconds() - MEMBER_COPY_AGE_MILLISECONDS
                follow(RefusingStore, port, confirmedAt) { table, copy ->
                    table.keys shouldBe listOf("key")
                    copy.version shouldBe StoreVersion(0, 7)
                    // The copy may count as older by the duration of the request, never as more recent.
                    confirmedAt shouldBeGreaterThanOrEqualTo table.confirmedAtMilliseconds.shouldNotBeNull()
                    table.confirmedAtMilliseconds.shouldNotBeNull() shouldBeGreaterThanOrEqualTo
                        confirmedAt - TIMEOUT_MILLISECONDS
                    table.outageEndedMillisecondsAgo shouldBe null
                }
            }
        }

        describe("a table to which a row cannot be applied") {
            listOf(IllegalStateException("by the test"), StackOverflowError("by the test")).forEach { failure ->
                it("is still followed after ${failure.javaClass.simpleName}, and lacks no row afterwards") {
                    val vertx = Vertx.vertx()
                    val scope = CoroutineScope(vertx.orCreateContext.dispatcher() + SupervisorJob())
                    val log = EventLog(clock, isWritten = false)
                    withContext(scope.coroutineContext) {
                        val fleet = FleetView(InstanceId("self"), null, clock) { null }
                        val table = FailingTable("key-2", failure)
                        val members = TableCopyClient(vertx, clock)
                        val follower =
                            TableFollower(table, TableCopy(clock), GrowingStore(), members, fleet, clock, log, scope)
                        val failed = mutableListOf<String>()
                        val supervisor = TaskSupervisor(scope, clock, log) { failed += it }
                        val running = supervisor.launch(follower.taskName) { follower.run() }
                        withTimeout(TIMEOUT_MILLISECONDS) { while ("key-4" !in table.keys) delay(10) }
                        table.keys shouldContainAll List(5) { "key-$it" }
                        failed shouldBe listOf("follow-recorded")
                        running.cancel()
                    }
                    vertx.close().coAwait()
                }
            }
        }

        describe("a process without other members") {
            it("reads from the store") {
                follow(ReadableStore(), memberPort = null) { table, _ -> table.keys shouldBe listOf("key") }
            }
        }
    })

private suspend fun serveMember(vertx: Vertx, port: Int, confirmedAt: Long) {
    val clock = MonotonicClock
    val copy = TableCopy(clock)
    val rows = listOf(StoreRow("key", "value".toByteArray(), 5))
    copy.apply(TableUpdate(rows, StoreVersion(0, 7), isWhole = true, confirmedAt, outageEndedMillisecondsAgo = null))
    TableCopyServer(vertx, clock, mapOf("recorded" to copy)).listen(TargetAddress(LOOPBACK, port))
}
