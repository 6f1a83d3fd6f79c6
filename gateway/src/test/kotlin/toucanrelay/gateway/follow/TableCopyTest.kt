package toucanrelay.gateway.follow

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock
import toucanrelay.platform.StoreRow

private fun row(key: String, version: Long) = StoreRow(key, "value".toByteArray(), version)

private fun deleted(key: String, version: Long) = StoreRow(key, null, version)

private fun news(
    version: Long,
    vararg rows: StoreRow,
    isWhole: Boolean = false,
    at: Long = 0,
    outage: Long? = null,
) = TableNews(rows.toList(), version, isWhole, at, outage)

class TableCopyTest :
    DescribeSpec({
        fun TableCopy.keysAfter(version: Long?) = checkNotNull(newsAfter(version)).rows.map { it.key }

        describe("a copy of a table") {
            it("offers nothing before the first look") {
                TableCopy(ManualClock()).newsAfter(null) shouldBe null
                TableCopy(ManualClock()).ageMilliseconds shouldBe null
            }

            it("tells what changed after a version, deletions among it") {
                val copy = TableCopy(ManualClock())
                copy.take(news(10, row("a", 3), row("b", 7), isWhole = true))
                copy.take(news(20, deleted("a", 15), row("c", 18)))
                copy.keysAfter(12) shouldContainExactlyInAnyOrder listOf("a", "c")
                copy.newsAfter(12).shouldNotBeNull().isWhole shouldBe false
                copy.newsAfter(12).shouldNotBeNull().version shouldBe 20
            }

            it("tells everything that stands to whoever knows nothing, or less than the copy's first look") {
                val copy = TableCopy(ManualClock())
                copy.take(news(10, row("a", 3), isWhole = true))
                copy.take(news(20, deleted("a", 15), row("c", 18)))
                listOf(null, 5L).forEach { known ->
                    copy.keysAfter(known) shouldBe listOf("c")
                    copy.newsAfter(known).shouldNotBeNull().isWhole shouldBe true
                }
            }

            it("never goes back to an older version, nor is it confirmed by one") {
                val clock = ManualClock()
                val copy = TableCopy(clock)
                copy.take(news(20, row("a", 15), isWhole = true, at = clock.nowMilliseconds()))
                clock.advance(1_000)
                copy.take(news(19, deleted("a", 19), at = clock.nowMilliseconds())) shouldBe false
                copy.keysAfter(null) shouldBe listOf("a")
                copy.ageMilliseconds shouldBe 1_000
            }

            it("passes on when the store came back from an outage") {
                val clock = ManualClock()
                val copy = TableCopy(clock)
                copy.take(news(20, isWhole = true, outage = 300))
                clock.advance(200)
                copy.newsAfter(20).shouldNotBeNull().outageEndedMillisecondsAgo shouldBe 500
            }

            it("keeps a bounded number of deletions, and tells everything to whoever would miss one") {
                val copy = TableCopy(ManualClock())
                copy.take(news(1, isWhole = true))
                val deletions = (2L..700L).map { deleted("key-$it", it) }
                copy.take(news(700, *deletions.toTypedArray()))
                copy.newsAfter(150).shouldNotBeNull().isWhole shouldBe true
                copy.newsAfter(300).shouldNotBeNull().isWhole shouldBe false
                copy.keysAfter(300).size shouldBe 400
            }
        }
    })
