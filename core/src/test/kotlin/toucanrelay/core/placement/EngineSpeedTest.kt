package toucanrelay.core.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

class EngineSpeedTest :
    DescribeSpec({
        describe("the estimated speed of engines") {
            it("follows the measured times to the first event") {
                val speed = EngineSpeed(20.0)
                repeat(200) { speed.recordFirstEvent(tokensAhead = 10_000, milliseconds = 310) }
                speed.tokensPerMillisecond shouldBe (40.0 plusOrMinus 1.0)
            }

            it("ignores short prompts, whose times are dominated by the fixed overhead") {
                val speed = EngineSpeed(20.0)
                repeat(200) { speed.recordFirstEvent(tokensAhead = 500, milliseconds = 2_000) }
                speed.tokensPerMillisecond shouldBe 20.0
            }

            it("stays within its bounds for extreme measurements") {
                val speed = EngineSpeed(20.0)
                repeat(500) { speed.recordFirstEvent(tokensAhead = 1_000_000, milliseconds = 61) }
                speed.tokensPerMillisecond shouldBe (200.0 plusOrMinus 1.0)
            }
        }
    })
