package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class StartUpTest :
    DescribeSpec({
        class Process(
            var isSpared: Boolean = true,
        ) {
            val clock = ManualClock()
            val startUp = StartUp(clock) { isSpared }

            fun isCompleteAfter(milliseconds: Long): Boolean {
                clock.advance(milliseconds)
                startUp.update()
                return startUp.isComplete
            }
        }

        describe("a process that has just started") {
            it("takes no part of the load before its code is warmed up") {
                val process = Process()
                process.isCompleteAfter(1_000) shouldBe false
                process.startUp.recordWarm()
                process.isCompleteAfter(0) shouldBe true
            }

            it("takes it soon if no others could take its callers, and does not give it up again") {
                val process = Process(isSpared = false)
                process.isCompleteAfter(1_999) shouldBe false
                process.isCompleteAfter(1) shouldBe true
                process.isSpared = true
                process.isCompleteAfter(100) shouldBe true
            }

            it("takes it after a while even if the warm-up was cut short") {
                val process = Process()
                process.isCompleteAfter(11_999) shouldBe false
                process.isCompleteAfter(1) shouldBe true
            }
        }
    })
