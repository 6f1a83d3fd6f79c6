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

private fun AdmissionLimit.completeInFullUse(times: Int, millisecondsPerUnit: Double = STEADY_MILLISECONDS_PER_UNIT) =
    repeat(times) { completed(millisecondsPerUnit, inFlight = current, startedIn = era) }

@OptIn(ExperimentalKotest::class)
class AdmissionLimitTest :
    DescribeSpec({
        val terms = AdmissionTerms(slots = 16, coldSlots = 2)

        describe("the admission limit") {
            it("starts at the cold limit") {
                AdmissionLimit(terms).current shouldBe 2
            }

            it("reaches the slots on completions of a target that bears them") {
                val limit = AdmissionLimit(terms)

                limit.completeInFullUse(times = COMPLETIONS_TO_ALL_SLOTS)

                limit.current shouldBe 16
                limit.isCold shouldBe false
            }

            it("does not rise on completions while it was not in use") {
                val limit = AdmissionLimit(AdmissionTerms(slots = 16, coldSlots = 4))

                repeat(1_000) { limit.completed(STEADY_MILLISECONDS_PER_UNIT, inFlight = 1, startedIn = limit.era) }

                limit.current shouldBe 4
            }

            it("takes back a raise that lost throughput") {
                val limit = AdmissionLimit(terms)
                limit.completeInFullUse(times = 8)
                limit.completeInFullUse(times = 3)
                limit.current shouldBe 4

                limit.completeInFullUse(times = 4, millisecondsPerUnit = STEADY_MILLISECONDS_PER_UNIT * 1.95)

                limit.current shouldBe 3
            }

            listOf<Pair<String, (AdmissionLimit) -> Unit>>(
                "a refusal or failure" to { it.cut() },
                "a jump of latency" to { it.completeInFullUse(10, STEADY_MILLISECONDS_PER_UNIT * 20) },
            ).forEach { (cause, happens) ->
                it("falls to the cold limit on $cause") {
                    val limit = AdmissionLimit(terms)
                    limit.completeInFullUse(times = 1_000)

                    happens(limit)

                    limit.current shouldBe 2
                }
            }

            it("does not rise while a target that was cut is much slower than it was when warm") {
                val limit = AdmissionLimit(terms).also { it.completeInFullUse(times = 1_000) }
                limit.cut()

                limit.completeInFullUse(times = 40, millisecondsPerUnit = STEADY_MILLISECONDS_PER_UNIT * 6)

                limit.current shouldBe 2
            }

            it("takes no request for evidence that started before the target was cut") {
                val limit = AdmissionLimit(terms)
                val earlier = limit.era
                limit.cut()

                repeat(1_000) { limit.completed(STEADY_MILLISECONDS_PER_UNIT, inFlight = 2, startedIn = earlier) }

                limit.current shouldBe 2
            }

            it("asks for more evidence where it was cut before") {
                val first = AdmissionLimit(terms).also { it.completeInFullUse(times = 1_000) }
                first.cut()
                first.completeInFullUse(times = COMPLETIONS_TO_ALL_SLOTS)

                (first.current in 3..15) shouldBe true
            }

            it("stays between the cold limit and the slots whatever happens, and at the cold limit after a cut") {
                val steps = Arb.list(Arb.pair(Arb.int(0..20), Arb.double(0.0, 500.0)), 1..300)
                checkAll(PropTestConfig(seed = 4201), steps) { events ->
                    val limit = AdmissionLimit(terms)
                    events.forEach { (kind, milliseconds) ->
                        if (kind == 0) {
                            limit.cut()
                            limit.current shouldBe terms.coldSlots
                        } else {
                            val before = limit.current
                            limit.completed(milliseconds, inFlight = kind, startedIn = limit.era)
                            (limit.current <= before + maxOf(1, before / 4)) shouldBe true
                        }
                        limit.current shouldBeInRange terms.coldSlots..terms.slots
                    }
                }
            }

            it("never rises by other terms beyond the new cold limit or what it was") {
                checkAll(
                    PropTestConfig(seed = 4202),
                    Arb.int(1..32),
                    Arb.int(1..32),
                    Arb.int(0..200),
                ) { a, b, evidence ->
                    val limit = AdmissionLimit(terms).also { it.completeInFullUse(evidence) }
                    val before = limit.current
                    val other = AdmissionTerms(slots = maxOf(a, b), coldSlots = minOf(a, b))

                    limit.apply(other)

                    (limit.current <= maxOf(before, other.coldSlots)) shouldBe true
                    limit.current shouldBeInRange other.coldSlots..other.slots
                }
            }
        }
    })
