package toucanrelay.core.admission

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll

private const val STEADY_MILLISECONDS_PER_UNIT = 9.0

/** Four rounds at the cold limit of 2, then one at each of 3, 4, 5, 6, 7, 8, 10, 12 and 15. */
private const val COMPLETIONS_TO_ALL_SLOTS = 78

private fun AdmissionLimit.completeAtLimit(times: Int, millisecondsPerUnit: Double = STEADY_MILLISECONDS_PER_UNIT) =
    repeat(times) { recordCompletion(millisecondsPerUnit, inFlight = current, startedInEpoch = epoch) }

@OptIn(ExperimentalKotest::class)
class AdmissionLimitTest :
    DescribeSpec({
        val bounds = AdmissionBounds(slots = 16, coldSlots = 2)

        describe("the admission limit") {
            it("starts at the cold limit") {
                AdmissionLimit(bounds).current shouldBe 2
            }

            it("rises to the slots on completions at steady latency") {
                val limit = AdmissionLimit(bounds)

                limit.completeAtLimit(times = COMPLETIONS_TO_ALL_SLOTS)

                limit.current shouldBe 16
                limit.isCold shouldBe false
            }

            it("does not rise on completions while it is not in use") {
                val limit = AdmissionLimit(AdmissionBounds(slots = 16, coldSlots = 4))

                repeat(1_000) {
                    limit.recordCompletion(STEADY_MILLISECONDS_PER_UNIT, inFlight = 1, startedInEpoch = limit.epoch)
                }

                limit.current shouldBe 4
            }

            it("reverts a raise that reduced throughput") {
                val limit = AdmissionLimit(bounds)
                limit.completeAtLimit(times = 8)
                limit.completeAtLimit(times = 3)
                limit.current shouldBe 4

                limit.completeAtLimit(times = 4, millisecondsPerUnit = STEADY_MILLISECONDS_PER_UNIT * 1.95)

                limit.current shouldBe 3
            }

            listOf<Pair<String, (AdmissionLimit) -> Unit>>(
                "a rejection or failure" to { it.cut() },
                "a sudden increase of latency" to { it.completeAtLimit(10, STEADY_MILLISECONDS_PER_UNIT * 20) },
            ).forEach { (cause, event) ->
                it("drops to the cold limit on $cause") {
                    val limit = AdmissionLimit(bounds)
                    limit.completeAtLimit(times = 1_000)

                    event(limit)

                    limit.current shouldBe 2
                }
            }

            it("does not rise after a cut while the target is much slower than it was when warm") {
                val limit = AdmissionLimit(bounds).also { it.completeAtLimit(times = 1_000) }
                limit.cut()

                limit.completeAtLimit(times = 40, millisecondsPerUnit = STEADY_MILLISECONDS_PER_UNIT * 6)

                limit.current shouldBe 2
            }

            it("ignores completions of requests that started before the cut") {
                val limit = AdmissionLimit(bounds)
                val earlierEpoch = limit.epoch
                limit.cut()

                repeat(1_000) {
                    limit.recordCompletion(STEADY_MILLISECONDS_PER_UNIT, inFlight = 2, startedInEpoch = earlierEpoch)
                }

                limit.current shouldBe 2
            }

            it("needs more completions after a cut to reach the slots again") {
                val first = AdmissionLimit(bounds).also { it.completeAtLimit(times = 1_000) }
                first.cut()
                first.completeAtLimit(times = COMPLETIONS_TO_ALL_SLOTS)

                (first.current in 3..15) shouldBe true
            }

            it("stays between the cold limit and the slots, and is at the cold limit after a cut") {
                val steps = Arb.list(Arb.pair(Arb.int(0..20), Arb.double(0.0, 500.0)), 1..300)
                checkAll(PropTestConfig(seed = 4201), steps) { events ->
                    val limit = AdmissionLimit(bounds)
                    events.forEach { (kind, milliseconds) ->
                        if (kind == 0) {
                            limit.cut()
                            limit.current shouldBe bounds.coldSlots
                        } else {
                            val before = limit.current
                            limit.recordCompletion(milliseconds, inFlight = kind, startedInEpoch = limit.epoch)
                            (limit.current <= before + maxOf(1, before / 4)) shouldBe true
                        }
                        limit.current shouldBeInRange bounds.coldSlots..bounds.slots
                    }
                }
            }

            it("does not exceed the old limit and the new cold limit when the bounds change") {
                checkAll(
                    PropTestConfig(seed = 4202),
                    Arb.int(1..32),
                    Arb.int(1..32),
                    Arb.int(0..200),
                ) { a, b, completions ->
                    val limit = AdmissionLimit(bounds).also { it.completeAtLimit(completions) }
                    val before = limit.current
                    val other = AdmissionBounds(slots = maxOf(a, b), coldSlots = minOf(a, b))

                    limit.apply(other)

                    (limit.current <= maxOf(before, other.coldSlots)) shouldBe true
                    limit.current shouldBeInRange other.coldSlots..other.slots
                }
            }
        }
    })
