package toucanrelay.core.statistics

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class SlidingCountTest :
    DescribeSpec({
        describe("a sliding count") {
            it("holds exactly the events of the last window") {
                val clock = ManualClock()
                val count = SlidingCount(clock, windowMilliseconds = 1_000)
                count.add()
                clock.advance(600)
                count.add()
                count.count() shouldBe 2
                clock.advance(400)
                count.count() shouldBe 1
                clock.advance(600)
                count.count() shouldBe 0
            }
        }
    })
