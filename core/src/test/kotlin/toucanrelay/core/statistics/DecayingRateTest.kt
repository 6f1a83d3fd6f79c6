package toucanrelay.core.statistics

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class DecayingRateTest :
    DescribeSpec({
        describe("a decaying rate") {
            it("converges to a constant rate") {
                val clock = ManualClock()
                val rate = DecayingRate(clock, timeConstantMilliseconds = 1_000)
                repeat(500) {
                    clock.advance(20)
                    rate.add(2.0)
                }
                rate.perSecond shouldBe (100.0 plusOrMinus 3.0)
            }

            it("decays to 1/e in its time constant and does not fall below zero") {
                val clock = ManualClock()
                val rate = DecayingRate(clock, timeConstantMilliseconds = 1_000)
                rate.add(300.0)
                clock.advance(1_000)
                rate.perSecond shouldBe (110.4 plusOrMinus 0.1)
                rate.add(-500.0)
                rate.perSecond shouldBe 0.0
                rate.perSecond shouldBeLessThan 1.0
            }
        }
    })
