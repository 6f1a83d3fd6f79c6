package toucanrelay.core.time

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ManualClockTest :
    DescribeSpec({
        describe("a manual clock") {
            it("advances by the given time") {
                val clock = ManualClock(startMilliseconds = 5)

                clock.advance(7)

                clock.nowMilliseconds() shouldBe 12
            }

            it("rejects a negative advance") {
                shouldThrow<IllegalArgumentException> { ManualClock().advance(-1) }
            }
        }
    })
