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

        describe("a suspension-aware clock") {
            it("counts a suspension, during which the monotonic clock stops") {
                val monotonicClock = ManualClock()
                val wallClock = SteppingClock(1_000)
                val clock = SuspensionAwareClock(monotonicClock, wallClock)
                monotonicClock.advance(10)
                wallClock.reading += 4_010
                clock.nowMilliseconds() shouldBe 4_010
            }

            it("follows the monotonic clock when the wall clock is set back") {
                val monotonicClock = ManualClock()
                val wallClock = SteppingClock(10_000)
                val clock = SuspensionAwareClock(monotonicClock, wallClock)
                monotonicClock.advance(100)
                wallClock.reading -= 5_000
                clock.nowMilliseconds() shouldBe 100
                monotonicClock.advance(100)
                wallClock.reading += 100
                clock.nowMilliseconds() shouldBe 200
            }
        }
    })
