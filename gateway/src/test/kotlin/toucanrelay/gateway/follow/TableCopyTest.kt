package toucanrelay.gateway.follow

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock
import toucanrelay.platform.StoreRow
import toucanrelay.platform.StoreVersion

private fun row(key: String, version: Long) = StoreRow(key, "value".toByteArray(), version)

private fun deleted(key: String, version: Long) = StoreRow(key, null, version)

private fun update(
    version: Long,
    vararg rows: StoreRow,
    isWhole: Boolean = false,
    at: Long = 0,
    outage: Long? = null,
    era: Long = 0,
) = TableUpdate(rows.toList(), StoreVersion(era, version), isWhole, at, outage)

class TableCopyTest :
    DescribeSpec({
        fun TableCopy.since(number: Long?, era: Long = 0) = updateSince(number?.let { StoreVersion(era, it) })

        fun TableCopy.keysAfter(number: Long?) = checkNotNull(since(number)).rows.map { it.key }

        describe("a copy of a table") {
            it("has no rows and no age before the first update") {
                TableCopy(ManualClock()).updateSince(null) shouldBe null
                TableCopy(ManualClock()).ageMilliseconds shouldBe null
            }

            it("returns the changes after a version, including deletions") {
                val copy = TableCopy(ManualClock())
                copy.apply(update(10, row("a", 3), row("b", 7), isWhole = true))
                copy.apply(update(20, deleted("a", 15), row("c", 18)))
                copy.keysAfter(12) shouldContainExactlyInAnyOrder listOf("a", "c")
                copy.since(12).shouldNotBeNull().isWhole shouldBe false
                copy.since(12).shouldNotBeNull().version shouldBe StoreVersion(0, 20)
            }

            it("returns all existing rows for no version or one older than the copy's first update") {
                val copy = TableCopy(ManualClock())
                copy.apply(update(10, row("a", 3), isWhole = true))
                copy.apply(update(20, deleted("a", 15), row("c", 18)))
                listOf(null, 5L).forEach { known ->
                    copy.keysAfter(known) shouldBe listOf("c")
                    copy.since(known).shouldNotBeNull().isWhole shouldBe true
                }
            }

            it("tells whether rows may have come and gone between two updates") {
                val copy = TableCopy(ManualClock())
                val first = update(10, row("a", 3), isWhole = true)
                copy.mayHaveMissedRows(first) shouldBe false
                copy.apply(first)
                copy.mayHaveMissedRows(update(20, deleted("a", 15), row("b", 18))) shouldBe false
                copy.mayHaveMissedRows(update(20, deleted("b", 15))) shouldBe true
                copy.mayHaveMissedRows(update(20, isWhole = true, at = 2_000)) shouldBe false
                copy.mayHaveMissedRows(update(20, isWhole = true, at = 2_001)) shouldBe true
            }

            it("rejects an older version, which does not confirm it either") {
                val clock = ManualClock()
                val copy = TableCopy(clock)
                copy.apply(update(20, row("a", 15), isWhole = true, at = clock.nowMilliseconds()))
                clock.advance(1_000)
                copy.apply(update(19, deleted("a", 19), at = clock.nowMilliseconds())) shouldBe false
                copy.keysAfter(null) shouldBe listOf("a")
                copy.ageMilliseconds shouldBe 1_000
            }

            it("takes over a lower version number of a later era, and no changes that continue another era") {
                val copy = TableCopy(ManualClock())
                copy.apply(update(20, row("a", 15), isWhole = true))
                copy.apply(update(12, row("b", 11), era = 1)) shouldBe false
                copy.apply(update(12, row("b", 11), isWhole = true, era = 1)) shouldBe true
                copy
                    .since(null)
                    .shouldNotBeNull()
                    .rows
                    .map { it.key } shouldBe listOf("b")
                copy.apply(update(30, row("a", 15), isWhole = true)) shouldBe false
            }

            it("returns all rows for a version of another era, although its number is known") {
                val copy = TableCopy(ManualClock())
                copy.apply(update(20, row("a", 15), isWhole = true, era = 1))
                copy.since(20, era = 0).shouldNotBeNull().isWhole shouldBe true
                copy.since(20, era = 1).shouldNotBeNull().isWhole shouldBe false
            }

            it("passes on when an outage of the store ended") {
                val clock = ManualClock()
                val copy = TableCopy(clock)
                copy.apply(update(20, isWhole = true, outage = 300))
                clock.advance(200)
                copy.since(20).shouldNotBeNull().outageEndedMillisecondsAgo shouldBe 500
            }

            it("keeps a bounded number of deletions, and returns all rows if one after the version was dropped") {
                val copy = TableCopy(ManualClock())
                copy.apply(update(1, isWhole = true))
                val deletions = (2L..700L).map { deleted("key-$it", it) }
                copy.apply(update(700, *deletions.toTypedArray()))
                copy.since(150).shouldNotBeNull().isWhole shouldBe true
                copy.since(300).shouldNotBeNull().isWhole shouldBe false
                copy.keysAfter(300).size shouldBe 400
            }
        }
    })
