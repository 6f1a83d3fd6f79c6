package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class LoopLagTest :
    DescribeSpec({
        describe("the lag of the event loop") {
            val clock = ManualClock()
            val lag = LoopLag(clock)

            fun tick(count: Int, milliseconds: Long) =
                repeat(count) {
                    clock.advance(milliseconds)
                    lag.recordTick()
                }

            it("is zero while the timer fires on time") {
                tick(20, milliseconds = 50)
                lag.milliseconds shouldBe 0
            }

            it("does not count as overload with a CPU quota enforced in periods of 100 ms") {
                tick(20, milliseconds = 125)
                lag.isOverloaded shouldBe false
            }

            it("counts as overload when iterations take 350 ms, and no longer after 500 ms without lag") {
                tick(5, milliseconds = 350)
                lag.isOverloaded shouldBe true
                tick(10, milliseconds = 50)
                lag.isOverloaded shouldBe false
            }

            it("is known during a pause already, before the timer fires") {
                val paused = LoopLag(clock)
                clock.advance(40)
                paused.millisecondsAt(clock.nowMilliseconds()) shouldBe 0
                clock.advance(1_000)
                paused.millisecondsAt(clock.nowMilliseconds()) shouldBe 990
                paused.milliseconds shouldBe 0
            }

            it("counts as overload immediately after one pause of 900 ms") {
                tick(1, milliseconds = 900)
                lag.isOverloaded shouldBe true
            }
        }
    })
