package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.Clock
import toucanrelay.core.time.ManualClock

class SuspensionAwareClockTest :
    DescribeSpec({
        class SteppingClock(
            var reading: Long,
        ) : Clock {
            override fun nowMilliseconds() = reading
        }

        describe("a clock for ages") {
            it("counts a suspension, during which the steady clock stands still") {
                val steady = ManualClock()
                val day = SteppingClock(1_000)
                val clock = SuspensionAwareClock(steady, day)
                steady.advance(10)
                day.reading += 4_010
                clock.nowMilliseconds() shouldBe 4_010
            }

            it("goes on with the steady clock when the time of day steps back") {
                val steady = ManualClock()
                val day = SteppingClock(10_000)
                val clock = SuspensionAwareClock(steady, day)
                steady.advance(100)
                day.reading -= 5_000
                clock.nowMilliseconds() shouldBe 100
                steady.advance(100)
                day.reading += 100
                clock.nowMilliseconds() shouldBe 200
            }
        }
    })
