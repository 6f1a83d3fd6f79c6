package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

private const val TICK_MILLISECONDS = 50L

class OverloadWithdrawalTest :
    DescribeSpec({
        class Process {
            val clock = ManualClock(0)
            val withdrawal = OverloadWithdrawal(clock)

            fun run(milliseconds: Long, isOverloaded: Boolean = false, isSpared: Boolean = true) {
                repeat((milliseconds / TICK_MILLISECONDS).toInt()) {
                    clock.advance(TICK_MILLISECONDS)
                    withdrawal.update(isOverloaded, isSpared)
                }
            }

            /** Returns how long the process stays withdrawn after an overload of one tick. */
            fun overload(): Long {
                run(TICK_MILLISECONDS, isOverloaded = true)
                val startedAt = clock.nowMilliseconds()
                while (withdrawal.isWithdrawn) run(TICK_MILLISECONDS)
                return clock.nowMilliseconds() - startedAt
            }
        }

        describe("a process that is overloaded for a moment") {
            it("is withdrawn long enough for two probes a second apart to see it") {
                Process().overload() shouldBe 3_000L
            }

            it("is withdrawn for longer if it is overloaded again soon after it returned, and not after a long time") {
                val process = Process()
                List(6) { process.overload() } shouldBe listOf(3_000L, 6_000L, 12_000L, 24_000L, 24_000L, 24_000L)
                process.run(11_000)
                process.overload() shouldBe 3_000L
            }
        }

        describe("a process that others cannot replace") {
            it("is not withdrawn") {
                val process = Process()
                process.run(5_000, isOverloaded = true, isSpared = false)
                process.withdrawal.isWithdrawn shouldBe false
            }
        }
    })
