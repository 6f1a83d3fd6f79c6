package toucanrelay.measure.result

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.checkAll
import kotlin.math.abs

class GapMeterTest :
    DescribeSpec({
        describe("the widest gap") {
            it("covers every interval, not only those from the start") {
                val meter = GapMeter(listOf("first", "second"))
                listOf(listOf(0.0, 0.0), listOf(10.0, 0.0), listOf(10.0, 30.0)).forEach { meter.sample(it) }
                // From the second sample to the third, the second organisation received 30 units and the first none.
                meter.widest() shouldBe ServiceGap("second", "first", 30.0)
                meter.lastDifference() shouldBe 20.0
            }

            it("is null for a single organisation") {
                GapMeter(listOf("only")).apply { sample(listOf(1.0)) }.widest() shouldBe null
            }

            it("equals the maximum over all intervals and pairs") {
                val increments = Arb.list(Arb.list(Arb.numericDouble(0.0, 100.0), 3..3), 1..12)
                checkAll(PropTestConfig(seed = 11), increments) { steps ->
                    val totals = steps.runningFold(listOf(0.0, 0.0, 0.0)) { sum, step -> sum.zip(step, Double::plus) }
                    val meter = GapMeter(listOf("a", "b", "c"))
                    totals.forEach { meter.sample(it) }
                    val found = meter.widest()?.unitsPerShare ?: 0.0
                    (abs(found - widestOverAllIntervals(totals)) < 1e-6) shouldBe true
                }
            }
        }
    })

private fun widestOverAllIntervals(totals: List<List<Double>>): Double =
    totals.indices.maxOf { from ->
        (from until totals.size).maxOf { to ->
            val gained = totals[to].zip(totals[from], Double::minus)
            gained.max() - gained.min()
        }
    }
