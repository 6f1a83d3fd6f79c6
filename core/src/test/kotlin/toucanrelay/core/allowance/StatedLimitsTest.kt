package toucanrelay.core.allowance

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.ManualClock

private val TARGET = TargetId("t")
private val RUN = Incarnation(5)

class StatedLimitsTest :
    DescribeSpec({
        lateinit var clock: ManualClock
        lateinit var limits: StatedLimits
        val changes = mutableListOf<Double?>()
        val unreadable = mutableListOf<String>()
        val observer =
            object : StatedLimitObserver {
                override fun onChange(target: TargetId, requestsPerSecond: Double?) {
                    changes += requestsPerSecond
                }

                override fun onUnreadable(target: TargetId, text: String) {
                    unreadable += text
                }
            }

        beforeEach {
            clock = ManualClock(1_000)
            changes.clear()
            unreadable.clear()
            limits = StatedLimits(clock, observer)
        }

        fun answer(stated: StatedLimit, sentAgo: Long = 0) =
            limits.recordAnswer(TARGET, RUN, stated, clock.nowMilliseconds() - sentAgo)

        describe("the limit of a target") {
            it("is the newest that it states") {
                answer(StatedLimit.PerSecond(4.0))
                clock.advance(100)
                answer(StatedLimit.PerSecond(2.5))
                limits.find(TARGET, RUN) shouldBe 2.5
                changes shouldContainExactly listOf(4.0, 2.5)
            }

            it("ends with an answer without one to a request sent after the statement") {
                answer(StatedLimit.PerSecond(4.0))
                clock.advance(100)
                answer(StatedLimit.None, sentAgo = 50)
                limits.find(TARGET, RUN) shouldBe null
            }

            it("does not end with an answer that left the target before the statement") {
                answer(StatedLimit.PerSecond(4.0))
                clock.advance(100)
                answer(StatedLimit.None, sentAgo = 200)
                limits.find(TARGET, RUN) shouldBe 4.0
            }

            it("stays in force when the target states something unreadable, which is reported once") {
                answer(StatedLimit.PerSecond(4.0))
                repeat(3) { answer(StatedLimit.Unreadable("many")) }
                limits.find(TARGET, RUN) shouldBe 4.0
                unreadable shouldContainExactly listOf("many")
            }

            it("ends with the run of the target") {
                answer(StatedLimit.PerSecond(4.0))
                limits.find(TARGET, Incarnation(6)) shouldBe null
                limits.recordAnswer(TARGET, Incarnation(6), StatedLimit.PerSecond(1.0), clock.nowMilliseconds())
                answer(StatedLimit.PerSecond(9.0))
                limits.find(TARGET, Incarnation(6)) shouldBe 1.0
            }

            it("is forgotten with the target") {
                answer(StatedLimit.PerSecond(4.0))
                limits.retain(emptySet())
                limits.limitedTargets shouldBe 0
            }
        }

        describe("statements of other instances") {
            it("count by their age, in any order") {
                limits.merge(TARGET, RUN, LimitStatement(3.0, 900))
                limits.merge(TARGET, RUN, LimitStatement(8.0, 800))
                limits.find(TARGET, RUN) shouldBe 3.0
                limits.merge(TARGET, RUN, LimitStatement(null, 950))
                limits.find(TARGET, RUN) shouldBe null
                limits.merge(TARGET, RUN, LimitStatement(3.0, 900))
                limits.find(TARGET, RUN) shouldBe null
            }

            it("are not shared again") {
                limits.merge(TARGET, RUN, LimitStatement(3.0, 900))
                limits.statementsToShare(10).shouldBeEmpty()
            }
        }

        describe("own statements") {
            it("are shared for some seconds, ends of limits too") {
                answer(StatedLimit.PerSecond(4.0))
                clock.advance(10)
                answer(StatedLimit.None)
                limits.statementsToShare(10).map { it.statement } shouldContainExactly
                    listOf(LimitStatement(null, clock.nowMilliseconds()))
                clock.advance(20_000)
                limits.statementsToShare(10).shouldBeEmpty()
            }
        }
    })
