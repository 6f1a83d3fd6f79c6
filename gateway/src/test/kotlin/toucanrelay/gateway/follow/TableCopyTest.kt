package toucanrelay.gateway.follow

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock
import toucanrelay.platform.StoreRow

private fun row(key: String, version: Long) = StoreRow(key, "value".toByteArray(), version)

private fun deleted(key: String, version: Long) = StoreRow(key, null, version)

private fun update(
    version: Long,
    vararg rows: StoreRow,
    isWhole: Boolean = false,
    at: Long = 0,
    outage: Long? = null,
) = TableUpdate(rows.toList(), version, isWhole, at, outage)

class TableCopyTest :
    DescribeSpec({
        fun TableCopy.keysAfter(version: Long?) = checkNotNull(updateSince(version)).rows.map { it.key }

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
                copy.updateSince(12).shouldNotBeNull().isWhole shouldBe false
                copy.updateSince(12).shouldNotBeNull().version shouldBe 20
            }

            it("returns all existing rows for no version or one older than the copy's first update") {
                val copy = TableCopy(ManualClock())
                copy.apply(update(10, row("a", 3), isWhole = true))
                copy.apply(update(20, deleted("a", 15), row("c", 18)))
                listOf(null, 5L).forEach { known ->
                    copy.keysAfter(known) shouldBe listOf("c")
                    copy.updateSince(known).shouldNotBeNull().isWhole shouldBe true
                }
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

            it("passes on when an outage of the store ended") {
                val clock = ManualClock()
                val copy = TableCopy(clock)
                copy.apply(update(20, isWhole = true, outage = 300))
                clock.advance(200)
                copy.updateSince(20).shouldNotBeNull().outageEndedMillisecondsAgo shouldBe 500
            }

            it("keeps a bounded number of deletions, and returns all rows if one after the version was dropped") {
                val copy = TableCopy(ManualClock())
                copy.apply(update(1, isWhole = true))
                val deletions = (2L..700L).map { deleted("key-$it", it) }
                copy.apply(update(700, *deletions.toTypedArray()))
                copy.updateSince(150).shouldNotBeNull().isWhole shouldBe true
                copy.updateSince(300).shouldNotBeNull().isWhole shouldBe false
                copy.keysAfter(300).size shouldBe 400
            }
        }
    })
