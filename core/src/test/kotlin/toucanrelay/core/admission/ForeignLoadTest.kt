package toucanrelay.core.admission

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import toucanrelay.core.time.ManualClock

@OptIn(ExperimentalKotest::class)
class ForeignLoadTest :
    DescribeSpec({
        describe("the estimate of foreign load") {
            it("is the reported load minus the requests of this agent") {
                val clock = ManualClock(100_000)
                val load = ForeignLoad(clock)
                load.recordInFlight(3)
                clock.advance(2_000)

                load.recordReport(requests = 5, ageMilliseconds = 200)

                load.requests shouldBe 2
            }

            it("ignores a report that is too old") {
                val clock = ManualClock(100_000)
                val load = ForeignLoad(clock)
                load.recordReport(requests = 5, ageMilliseconds = 0)
                clock.advance(5_001)

                load.requests shouldBe 0
            }

            it("is zero for any lagging report of this agent's own requests") {
                val steps = Arb.list(Arb.pair(Arb.long(0L..700L), Arb.int(0..16)), 1..80)
                checkAll(PropTestConfig(seed = 4203), steps, Arb.long(0L..3_000L)) { changes, age ->
                    val clock = ManualClock(100_000)
                    val load = ForeignLoad(clock)
                    val history = mutableListOf(100_000L to 0)
                    changes.forEach { (wait, inFlight) ->
                        clock.advance(wait)
                        load.recordInFlight(inFlight)
                        history += clock.nowMilliseconds() to inFlight
                    }
                    val truth = history.last { (at, _) -> at <= maxOf(100_000L, clock.nowMilliseconds() - age) }.second

                    load.recordReport(truth, age)

                    load.requests shouldBe 0
                }
            }
        }
    })
