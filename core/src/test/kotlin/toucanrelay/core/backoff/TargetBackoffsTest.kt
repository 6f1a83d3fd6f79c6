package toucanrelay.core.backoff

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private val TARGET = TargetId("t")
private val RUN = Incarnation(5)
private const val LONGEST_SPREAD_MILLISECONDS = 1_000L

class TargetBackoffsTest :
    DescribeSpec({
        lateinit var clock: ManualClock
        lateinit var backoffs: TargetBackoffs
        val begun = mutableListOf<Long>()
        val unreadable = mutableListOf<String>()
        val observer =
            object : TargetBackoffObserver {
                override fun onBackoff(target: TargetId, milliseconds: Long, requestedMilliseconds: Long) {
                    begun += requestedMilliseconds
                }

                override fun onUnreadable(target: TargetId, text: String) {
                    unreadable += text
                }
            }

        beforeEach {
            clock = ManualClock(1_000)
            begun.clear()
            unreadable.clear()
            backoffs = TargetBackoffs(clock, Random(1), observer)
        }

        fun answer(requested: RequestedBackoff, sentAgo: Long = 0) =
            backoffs.recordAnswer(TARGET, RUN, requested, clock.nowMilliseconds() - sentAgo)

        fun refuseFor(milliseconds: Long) = answer(RequestedBackoff.For(milliseconds))

        fun maySend() = backoffs.maySend(TARGET, RUN)

        describe("a target that asks for a back-off") {
            it("gets no request for all of it, and at most a quarter longer") {
                refuseFor(2_000)
                clock.advance(1_999)
                maySend() shouldBe false
                clock.advance(501)
                maySend() shouldBe true
            }

            it("gets single requests after it until it accepts one") {
                refuseFor(2_000)
                clock.advance(3_000)
                val trialAt = clock.nowMilliseconds()
                backoffs.recordSent(TARGET, RUN)
                maySend() shouldBe false
                clock.advance(300)
                maySend() shouldBe true
                backoffs.recordSent(TARGET, RUN)
                maySend() shouldBe false
                backoffs.recordAnswer(TARGET, RUN, RequestedBackoff.None, trialAt)
                maySend() shouldBe true
            }

            it("is not taken to accept requests again by an answer to an earlier one") {
                refuseFor(2_000)
                clock.advance(3_000)
                backoffs.recordSent(TARGET, RUN)
                answer(RequestedBackoff.None, sentAgo = 2_500)
                maySend() shouldBe false
            }

            it("gets no request until the end of the longest of several") {
                refuseFor(4_000)
                clock.advance(100)
                refuseFor(1_000)
                backoffs.remainingMilliseconds(TARGET, RUN) shouldBeGreaterThanOrEqual 3_900L
                begun shouldContainExactly listOf(4_000L)
            }

            it("gets requests at once in a new run, while earlier runs count no more") {
                refuseFor(4_000)
                backoffs.maySend(TARGET, Incarnation(6)) shouldBe true
                backoffs.recordAnswer(TARGET, Incarnation(6), RequestedBackoff.For(100), clock.nowMilliseconds())
                refuseFor(60_000)
                backoffs.remainingMilliseconds(TARGET, Incarnation(6)) shouldBeLessThanOrEqual 200L
            }

            it("is remembered while its registration is missing, and forgotten after the back-off") {
                refuseFor(4_000)
                backoffs.retain(emptySet())
                maySend() shouldBe false
                clock.advance(6_000)
                backoffs.retain(emptySet())
                backoffs.recordSent(TARGET, RUN)
                maySend() shouldBe true
            }
        }

        describe("a back-off that cannot be read") {
            it("has no effect and is reported once for each run") {
                repeat(2) { answer(RequestedBackoff.Unreadable("soon")) }
                maySend() shouldBe true
                backoffs.remainingMilliseconds(TARGET, RUN) shouldBe 0
                unreadable shouldContainExactly listOf("soon")
            }
        }

        describe("instances that a target asks for the same back-off") {
            it("do not return all at once") {
                val returns =
                    List(33) { seed ->
                        val instance = TargetBackoffs(clock, Random(seed))
                        instance.recordAnswer(TARGET, RUN, RequestedBackoff.For(8_000), clock.nowMilliseconds())
                        instance.remainingMilliseconds(TARGET, RUN)
                    }
                returns.min() shouldBeGreaterThanOrEqual 8_000L
                returns.max() shouldBeLessThanOrEqual 8_000L + LONGEST_SPREAD_MILLISECONDS
                (0 until 10).count { tenth -> returns.any { (it - 8_000) / 100 == tenth.toLong() } } shouldBeGreaterThan
                    7
            }
        }
    })
