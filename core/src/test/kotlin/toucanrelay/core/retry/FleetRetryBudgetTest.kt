package toucanrelay.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private val BUDGET = RetryBudgetSettings(ratio = 0.2, reserve = 54.0, windowMilliseconds = 10_000)

class FleetRetryBudgetTest :
    DescribeSpec({
        describe("the retries of all instances together") {
            it("stay within the fleet's budget in every window at any retry rate") {
                checkAll(PropTestConfig(seed = 9, iterations = 30), Arb.int(1..40)) { instances ->
                    val clock = ManualClock()
                    val random = Random(instances)
                    val budgets = List(instances) { FleetRetryBudget(clock, BUDGET) }
                    val requests = ArrayDeque<Long>()
                    val retries = ArrayDeque<Long>()
                    repeat(3_000) {
                        clock.advance(10)
                        val now = clock.nowMilliseconds()
                        val budget = budgets.random(random)
                        if (random.nextDouble() < 0.3) {
                            budget.recordRequest()
                            requests += now
                        }
                        if (budget.tryAcquire(instances)) retries += now
                        listOf(requests, retries).forEach { log ->
                            while (log.isNotEmpty() && log.first() <= now - BUDGET.windowMilliseconds) log.removeFirst()
                        }
                        val bound = BUDGET.ratio * requests.size + BUDGET.reserve
                        retries.size.toDouble() shouldBeLessThanOrEqual bound
                    }
                }
            }

            it("are possible again after the window has passed") {
                val clock = ManualClock()
                val budget = FleetRetryBudget(clock, BUDGET.copy(ratio = 0.0, reserve = 2.0))
                budget.tryAcquire(1) shouldBe true
                budget.tryAcquire(1) shouldBe false
                clock.advance(BUDGET.windowMilliseconds)
                budget.tryAcquire(1) shouldBe true
            }

            it("count against limits that change meanwhile") {
                val budget = FleetRetryBudget(ManualClock(), BUDGET.copy(ratio = 0.0, reserve = 2.0))
                budget.tryAcquire(1) shouldBe true
                budget.settings = BUDGET.copy(ratio = 0.0, reserve = 3.0)
                budget.tryAcquire(1) shouldBe true
                budget.tryAcquire(1) shouldBe false
            }

            it("count in a window that has become longer") {
                val clock = ManualClock()
                val budget = FleetRetryBudget(clock, BUDGET.copy(ratio = 0.0, reserve = 2.0))
                budget.tryAcquire(1) shouldBe true
                budget.settings = budget.settings.copy(windowMilliseconds = 2 * BUDGET.windowMilliseconds)
                clock.advance(BUDGET.windowMilliseconds)
                budget.tryAcquire(1) shouldBe false
            }
        }
    })
