package toucanrelay.core.prefix

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll

private fun stored(sequence: Long, hash: Long) = PrefixEvent(sequence, PrefixEventKind.STORED, hash)

private fun removed(sequence: Long, hash: Long) = PrefixEvent(sequence, PrefixEventKind.REMOVED, hash)

@OptIn(ExperimentalKotest::class)
class PrefixCacheViewTest :
    DescribeSpec({
        describe("the view of a prefix cache") {
            it("applies events and returns what changed") {
                val view = PrefixCacheView()

                view.update(listOf(stored(1, 10), stored(2, 20))).added shouldBe setOf(10L, 20L)
                view.update(listOf(removed(3, 10))).removed shouldBe setOf(10L)
                view.prefixes shouldBe setOf(20L)
            }

            it("applies no event twice and counts lost events") {
                val view = PrefixCacheView()
                view.update(listOf(stored(1, 10), removed(4, 10)))

                view.update(listOf(stored(1, 10))).isEmpty shouldBe true
                view.lostEvents shouldBe 2
            }

            it("stays within its capacity, and its changes add up to its content") {
                val batches = Arb.list(Arb.list(Arb.pair(Arb.boolean(), Arb.long(0L..30L)), 0..20), 1..20)
                checkAll(PropTestConfig(seed = 4501, iterations = 300), batches) { rounds ->
                    val view = PrefixCacheView(capacity = 8)
                    val reported = mutableSetOf<Long>()
                    var sequence = 0L
                    rounds.forEach { round ->
                        val events =
                            round.map { (stores, hash) ->
                                if (stores) stored(++sequence, hash) else removed(++sequence, hash)
                            }
                        val change = view.update(events)
                        reported -= change.removed
                        reported += change.added
                        reported shouldBe view.prefixes
                        (view.prefixes.size <= 8) shouldBe true
                    }
                }
            }
        }
    })
