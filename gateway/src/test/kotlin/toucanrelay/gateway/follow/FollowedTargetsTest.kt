package toucanrelay.gateway.follow

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.ManualClock
import toucanrelay.gateway.log.EventLog
import toucanrelay.platform.StoreRow
import toucanrelay.platform.StoreVersion

private const val GRACE_MILLISECONDS = 2_200L
private const val ENTRY =
    """{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","cold-remaining-ms":0,"born":7}"""
private const val ODD_ENTRY = """{"service":"s","address":"10.0.0.1:99999"}"""

private fun row(key: String, version: Long, text: String = ENTRY) = StoreRow(key, text.toByteArray(), version)

private class Follower(
    clock: ManualClock,
) {
    val registry = TargetRegistry(clock, GRACE_MILLISECONDS)
    private val table = FollowedTargets(registry, EventLog(clock, isWritten = false), onMissed = { }) { }

    fun apply(rows: List<StoreRow>, isWhole: Boolean) =
        table.apply(TableChange(rows, isWhole, confirmedAtMilliseconds = 0))

    fun serving() = registry.serving("s", emptySet()).map { it.registration.id.value }
}

class FollowedTargetsTest :
    DescribeSpec({
        describe("an entry that was good and is now odd") {
            listOf("a change" to false, "a whole read" to true).forEach { (what, isWhole) ->
                it("names no target after $what, as one that is gone, and the others hold") {
                    val follower = Follower(ManualClock())
                    follower.apply(listOf(row("a", 1), row("b", 2)), isWhole = true)
                    val odd = row("a", 3, ODD_ENTRY)
                    follower.apply(if (isWhole) listOf(odd, row("b", 2)) else listOf(odd), isWhole)
                    follower.serving() shouldContainExactlyInAnyOrder listOf("b")
                }

                it("names its target again once $what shows it good again") {
                    val follower = Follower(ManualClock())
                    follower.apply(listOf(row("a", 1), row("b", 2)), isWhole = true)
                    follower.apply(listOf(row("a", 3, ODD_ENTRY)), isWhole = false)
                    val good = row("a", 4)
                    follower.apply(if (isWhole) listOf(good, row("b", 2)) else listOf(good), isWhole)
                    follower.serving() shouldContainExactlyInAnyOrder listOf("a", "b")
                }

                it("names its target within the grace after an outage when $what shows it odd, as one that expired") {
                    val clock = ManualClock()
                    val follower = Follower(clock)
                    follower.apply(listOf(row("a", 1), row("b", 2)), isWhole = true)
                    follower.registry.recordOutageEnd()
                    val odd = row("a", 3, ODD_ENTRY)
                    follower.apply(if (isWhole) listOf(odd, row("b", 2)) else listOf(odd), isWhole)
                    follower.serving() shouldContainExactlyInAnyOrder listOf("a", "b")
                    clock.advance(GRACE_MILLISECONDS + 1)
                    follower.serving() shouldContainExactlyInAnyOrder listOf("b")
                }
            }

            it("is gone as well for a process that reads the table from this one's copy") {
                val clock = ManualClock()
                val copy = TableCopy(clock)
                val before = StoreVersion(0, 2)
                copy.apply(TableUpdate(listOf(row("a", 1), row("b", 2)), before, isWhole = true, 0, null))
                copy.apply(TableUpdate(listOf(row("a", 3, ODD_ENTRY)), StoreVersion(0, 3), isWhole = false, 0, null))
                listOf(before, null).forEach { known ->
                    val reader = Follower(clock)
                    reader.apply(listOf(row("a", 1), row("b", 2)), isWhole = true)
                    val update = copy.updateSince(known).shouldNotBeNull()
                    reader.apply(update.rows, update.isWhole)
                    reader.serving() shouldContainExactlyInAnyOrder listOf("b")
                }
            }
        }
    })
