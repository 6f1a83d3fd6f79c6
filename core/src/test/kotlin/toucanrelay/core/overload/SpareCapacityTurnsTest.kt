package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.StableHash
import toucanrelay.core.time.ManualClock

private const val INSTANCES = 24
private const val PERIODS = 2_000

class SpareCapacityTurnsTest :
    DescribeSpec({
        /** Mean number of instances that may use one target at the same time. */
        fun meanTurns(usedShare: Double): Double {
            val clock = ManualClock(0)
            val turns = List(INSTANCES) { SpareCapacityTurns(InstanceId("instance-$it"), clock) }
            val target = StableHash.of("target")
            var total = 0
            repeat(PERIODS) {
                total += turns.count { it.now(INSTANCES, usedShare).includes(target) }
                clock.advance(200)
            }
            return total.toDouble() / PERIODS
        }

        describe("a target with spare capacity that all instances see") {
            it("is open to less than one instance at a time for an organisation at twice its share") {
                meanTurns(2.0) shouldBe (0.5 plusOrMinus 0.1)
            }

            it("is open to fewer the further an organisation is above its share") {
                meanTurns(1.5) shouldBeLessThan meanTurns(1.1)
            }

            it("is open to all instances for an organisation up to its share") {
                meanTurns(1.0) shouldBe INSTANCES.toDouble()
            }
        }
    })
