package toucanrelay.core.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

class EngineSpeedTest :
    DescribeSpec({
        describe("the speed of engines") {
            it("is learned from the time to first events") {
                val speed = EngineSpeed(20.0)
                repeat(200) { speed.observe(tokensAhead = 10_000, milliseconds = 310) }
                speed.tokensPerMillisecond shouldBe (40.0 plusOrMinus 1.0)
            }

            it("is not learned from short prompts, whose time tells nothing") {
                val speed = EngineSpeed(20.0)
                repeat(200) { speed.observe(tokensAhead = 500, milliseconds = 2_000) }
                speed.tokensPerMillisecond shouldBe 20.0
            }

            it("stays within bounds whatever is measured") {
                val speed = EngineSpeed(20.0)
                repeat(500) { speed.observe(tokensAhead = 1_000_000, milliseconds = 61) }
                speed.tokensPerMillisecond shouldBe (200.0 plusOrMinus 1.0)
            }
        }
    })
