package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class LoopLagTest :
    DescribeSpec({
        describe("the lag of the event loop") {
            it("is what the timer is late by, remembered for a while") {
                val clock = ManualClock()
                val lag = LoopLag(clock)
                clock.advance(50)
                lag.note()
                lag.milliseconds shouldBe 0
                clock.advance(700)
                lag.note()
                lag.milliseconds shouldBe 650
                lag.isOverloaded shouldBe true
                clock.advance(50)
                lag.note()
                lag.isOverloaded shouldBe true
                clock.advance(351)
                lag.isOverloaded shouldBe false
            }
        }
    })
