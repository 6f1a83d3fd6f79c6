package toucanrelay.core.statistics

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class SlidingWindowCounterTest :
    DescribeSpec({
        describe("a sliding window counter") {
            it("counts exactly the events of the last window") {
                val clock = ManualClock()
                val counter = SlidingWindowCounter(clock, windowMilliseconds = 1_000)
                counter.add()
                clock.advance(600)
                counter.add()
                counter.count() shouldBe 2
                clock.advance(400)
                counter.count() shouldBe 1
                clock.advance(600)
                counter.count() shouldBe 0
            }
        }
    })
