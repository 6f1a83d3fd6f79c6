package toucanrelay.core.statistics

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class RecentMaximumTest :
    DescribeSpec({
        describe("the largest recent value") {
            val clock = ManualClock()
            val maximum = RecentMaximum(clock, windowMilliseconds = 1_000)

            it("is kept for a window at least and forgotten after two") {
                maximum.value shouldBe null
                maximum.add(7)
                maximum.add(5)
                clock.advance(1_000)
                maximum.add(6)
                maximum.value shouldBe 7
                clock.advance(1_000)
                maximum.value shouldBe 6
                clock.advance(2_000)
                maximum.value shouldBe null
            }
        }
    })
