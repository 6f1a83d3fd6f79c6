package toucanrelay.core.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class TargetHealthTest :
    DescribeSpec({
        describe("a target that cannot be reached") {
            it("is left alone, then on trial, then sound after an answer") {
                val clock = ManualClock()
                val health = TargetHealth(clock)
                health.noteUnreachable()
                health.condition shouldBe TargetCondition.SUSPECTED
                clock.advance(400)
                health.condition shouldBe TargetCondition.ON_TRIAL
                health.noteSuccess()
                health.condition shouldBe TargetCondition.SOUND
            }

            it("is left alone for longer each time") {
                val clock = ManualClock()
                val health = TargetHealth(clock)
                health.noteUnreachable()
                clock.advance(400)
                health.noteUnreachable()
                clock.advance(799)
                health.condition shouldBe TargetCondition.SUSPECTED
                clock.advance(1)
                health.condition shouldBe TargetCondition.ON_TRIAL
            }
        }

        describe("a target that fails a part of its requests") {
            it("is known by its failure rate, which fades with successes") {
                val health = TargetHealth(ManualClock())
                repeat(20) { health.noteFailure() }
                health.failureRate shouldBeGreaterThan 0.9
                repeat(40) { health.noteSuccess() }
                health.failureRate shouldBeLessThan 0.1
            }
        }
    })
