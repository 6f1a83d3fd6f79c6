package toucanrelay.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

class ByteBudgetTest :
    DescribeSpec({
        describe("a byte budget") {
            it("limits the bytes used to burst, refill and the excess over reservations") {
                checkAll(PropTestConfig(seed = 4403, iterations = 300), Arb.int()) { seed ->
                    val random = Random(seed)
                    val clock = ManualClock()
                    val budget = ByteBudget(bytesPerSecond = 1_000, burstBytes = 2_000, clock)
                    var used = 0.0
                    var excess = 0.0
                    repeat(200) {
                        clock.advance(random.nextLong(0, 50))
                        val reserved = random.nextLong(1, 1_500)
                        if (budget.reserve(reserved)) {
                            val bytes = random.nextLong(0, 2_000)
                            budget.settle(reserved, bytes)
                            used += bytes
                            excess += maxOf(0, bytes - reserved)
                        }
                        used shouldBeLessThanOrEqual 2_000 + clock.nowMilliseconds() * 1.0 + excess
                    }
                }
            }

            it("refills over time up to its burst") {
                val clock = ManualClock()
                val budget = ByteBudget(bytesPerSecond = 1_000, burstBytes = 2_000, clock)
                budget.reserve(2_000) shouldBe true
                budget.isAvailable(1) shouldBe false
                clock.advance(1_000)
                budget.isAvailable(1_000) shouldBe true
                budget.isAvailable(1_001) shouldBe false
                clock.advance(100_000)
                budget.reserve(2_000) shouldBe true
                budget.isAvailable(1) shouldBe false
            }
        }
    })
