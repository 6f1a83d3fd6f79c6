package toucanrelay.core.allowance

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.checkAll
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.TargetId

private const val WINDOW_MILLISECONDS = 1_000L
private const val ROUNDING = 1e-6

class RateDivisionTest :
    DescribeSpec({
        fun members(count: Int, demand: (Int) -> Double = { 5.0 }) =
            (1..count).associate { InstanceId("member-$it") to demand(it) }

        fun rateOf(
            self: InstanceId,
            view: Map<InstanceId, Double>,
            perSecond: Double,
            target: String = "t",
        ) = RateDivision.requestsPerSecond(
            TargetId(target),
            self,
            view,
            FleetRateLimit(perSecond, WINDOW_MILLISECONDS),
        )

        describe("the parts of the whole fleet") {
            it("add up to the target's rate") {
                checkAll(
                    PropTestConfig(seed = 7, iterations = 40),
                    Arb.int(1..300),
                    Arb.numericDouble(0.2, 40.0),
                ) { count, perSecond ->
                    val all = members(count) { (it % 7).toDouble() }
                    val sum = all.keys.sumOf { rateOf(it, all, perSecond) }
                    sum shouldBeLessThanOrEqual perSecond + ROUNDING
                    sum shouldBeGreaterThan perSecond - ROUNDING
                }
            }

            it("stay within 1.5 times the rate if a tenth of the fleet is unknown to the rest") {
                checkAll(PropTestConfig(seed = 8, iterations = 20), Arb.int(10..200)) { count ->
                    val all = members(count)
                    val known = all.entries.drop(count / 10).associate { it.toPair() }
                    val sum = all.keys.sumOf { self -> rateOf(self, if (self in known) known else all, 13.0) }
                    sum shouldBeLessThanOrEqual 13.0 * 1.5
                }
            }

            it("belong to few senders, each of which may send a request at once") {
                checkAll(PropTestConfig(seed = 9, iterations = 20), Arb.numericDouble(0.2, 40.0)) { perSecond ->
                    val all = members(300)
                    val senders = all.keys.count { rateOf(it, all, perSecond) > 0 }
                    senders shouldBeLessThanOrEqual (perSecond * 0.25).toInt() + 2
                }
            }
        }

        describe("the parts of members with different demands") {
            it("are in proportion to the demands where all members are senders") {
                val all = members(3) { it.toDouble() }
                rateOf(InstanceId("member-1"), all, 12.0) shouldBe (2.0 plusOrMinus ROUNDING)
                rateOf(InstanceId("member-3"), all, 12.0) shouldBe (6.0 plusOrMinus ROUNDING)
            }

            it("are on average in proportion to the demands where only some are") {
                val all = members(20) { if (it == 1) 40.0 else 60.0 / 19 }
                val sums = all.keys.associateWith { self -> (1..400).sumOf { rateOf(self, all, 12.0, "target-$it") } }
                val total = sums.values.sum()
                sums.getValue(InstanceId("member-1")) / total shouldBe (0.4 plusOrMinus 0.05)
                sums.filterKeys { it.value != "member-1" }.values.forEach {
                    it / total shouldBe (0.6 / 19 plusOrMinus 0.015)
                }
            }

            it("are all with the only member that has demand, but for a small rest") {
                val all = members(4) { if (it == 1) 100.0 else 0.0 }
                rateOf(InstanceId("member-1"), all, 8.0) shouldBeGreaterThan 7.9
            }
        }
    })
