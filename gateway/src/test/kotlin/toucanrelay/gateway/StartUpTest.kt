package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class StartUpTest :
    DescribeSpec({
        describe("a process that has just started") {
            it("takes no part of the load before its code is warmed up") {
                val startUp = StartUp(ManualClock())
                startUp.isComplete shouldBe false
                startUp.recordWarm()
                startUp.isComplete shouldBe true
            }

            it("takes it after a while even if the warm-up was cut short") {
                val clock = ManualClock()
                val startUp = StartUp(clock)
                clock.advance(14_999)
                startUp.isComplete shouldBe false
                clock.advance(1)
                startUp.isComplete shouldBe true
            }
        }
    })
