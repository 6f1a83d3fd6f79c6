package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class LoopLagTest :
    DescribeSpec({
        describe("the lag of the event loop") {
            val clock = ManualClock()
            val lag = LoopLag(clock)

            fun turns(count: Int, milliseconds: Long) =
                repeat(count) {
                    clock.advance(milliseconds)
                    lag.note()
                }

            it("is nothing while the timer is on time") {
                turns(20, milliseconds = 50)
                lag.milliseconds shouldBe 0
            }

            it("does not make a core given in slices of a tenth of a second overloaded") {
                turns(20, milliseconds = 125)
                lag.isOverloaded shouldBe false
            }

            it("shows a loop whose turns take a third of a second as overloaded, and as sound half a second later") {
                turns(5, milliseconds = 350)
                lag.isOverloaded shouldBe true
                turns(10, milliseconds = 50)
                lag.isOverloaded shouldBe false
            }

            it("shows one long stop at once") {
                turns(1, milliseconds = 900)
                lag.isOverloaded shouldBe true
            }
        }
    })
