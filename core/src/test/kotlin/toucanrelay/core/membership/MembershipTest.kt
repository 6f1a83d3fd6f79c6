package toucanrelay.core.membership

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import toucanrelay.core.exchange.EntryPlace
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.core.time.ManualClock

class MembershipTest :
    DescribeSpec({
        val first = InstanceId("first")
        val second = InstanceId("second")

        describe("an incarnation register") {
            it("never goes back to an earlier run, in whatever order runs are seen") {
                checkAll(PropTestConfig(seed = 61), Arb.list(Arb.long(1L..6L), 1..20)) { seen ->
                    val register = IncarnationRegister()
                    var highest = 0L
                    seen.forEach { incarnation ->
                        val standing = register.note(ProcessRun(first, Incarnation(incarnation)))
                        (standing == RunStanding.SUPERSEDED) shouldBe (incarnation < highest)
                        highest = maxOf(highest, incarnation)
                        register.current(first) shouldBe Incarnation(highest)
                    }
                }
            }
        }

        describe("leaving marks") {
            val both = setOf(first, second)

            it("stay when an older list is read after a newer one") {
                val marks = LeavingMarks(ManualClock())
                marks.takeList(live = setOf(second), leaving = setOf(first))

                marks.takeList(live = both, leaving = emptySet())

                marks.leaving shouldContainExactlyInAnyOrder listOf(first)
            }

            it("go when lists show the instance as live for longer than lists lag") {
                val clock = ManualClock()
                val marks = LeavingMarks(clock)
                marks.takeList(live = setOf(second), leaving = setOf(first))
                clock.advance(LeavingMarks.DEFAULT_LAG_MILLISECONDS)

                marks.takeList(live = both, leaving = emptySet())

                marks.leaving shouldBe emptySet()
            }

            it("go with an instance that is on the list no more") {
                val marks = LeavingMarks(ManualClock())
                marks.takeList(live = setOf(second), leaving = setOf(first))

                marks.takeList(live = setOf(second), leaving = emptySet())

                marks.leaving shouldBe emptySet()
            }

            it("are taken from other entries once") {
                val marks = LeavingMarks(ManualClock())

                marks.takeNotice(listOf(first)) shouldBe setOf(first)
                marks.takeNotice(listOf(first)) shouldBe emptySet()
            }
        }

        describe("suspicions") {
            fun place(name: String, region: String) =
                EntryPlace(InstanceId(name), RegionId(region), FailureDomainId("$region-1"))

            val own = place("own", "east")
            val near = place("near", "east")
            val far = List(4) { place("far-$it", "west") }
            val all = listOf(own, near) + far

            it("pass over an entry for a while") {
                val clock = ManualClock()
                val suspicions = Suspicions(clock, own)
                suspicions.suspect(near)
                suspicions.trusted(all) shouldBe all - near

                clock.advance(Suspicions.DEFAULT_DURATION_MILLISECONDS)
                suspicions.trusted(all) shouldBe all
            }

            it("pass over another region after two of its entries could not be reached") {
                val suspicions = Suspicions(ManualClock(), own)
                suspicions.suspect(far[0])
                suspicions.trusted(all) shouldBe all - far[0]

                suspicions.suspect(far[1])
                suspicions.trusted(all) shouldBe listOf(own, near)

                suspicions.clear(far[2])
                suspicions.trusted(all) shouldBe all
            }
        }
    })
