package toucanrelay.core.membership

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import toucanrelay.core.exchange.EntryLocation
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

        describe("an incarnation registry") {
            it("never returns to an earlier run, in any order of observed runs") {
                checkAll(PropTestConfig(seed = 61), Arb.list(Arb.long(1L..6L), 1..20)) { seen ->
                    val registry = IncarnationRegistry()
                    var highest = 0L
                    seen.forEach { incarnation ->
                        val status = registry.record(ProcessRun(first, Incarnation(incarnation)))
                        (status == RunStatus.SUPERSEDED) shouldBe (incarnation < highest)
                        highest = maxOf(highest, incarnation)
                        registry.current(first) shouldBe Incarnation(highest)
                    }
                }
            }
        }

        describe("leaving instances") {
            val both = setOf(first, second)

            it("remain when an older list is read after a newer one") {
                val instances = LeavingInstances(ManualClock())
                instances.applyList(live = setOf(second), leaving = setOf(first))

                instances.applyList(live = both, leaving = emptySet())

                instances.leaving shouldContainExactlyInAnyOrder listOf(first)
            }

            it("are removed once lists have shown the instance as live for the maximum lag") {
                val clock = ManualClock()
                val instances = LeavingInstances(clock)
                instances.applyList(live = setOf(second), leaving = setOf(first))
                clock.advance(LeavingInstances.DEFAULT_LAG_MILLISECONDS)

                instances.applyList(live = both, leaving = emptySet())

                instances.leaving shouldBe emptySet()
            }

            it("are removed when they are no longer listed") {
                val instances = LeavingInstances(ManualClock())
                instances.applyList(live = setOf(second), leaving = setOf(first))

                instances.applyList(live = setOf(second), leaving = emptySet())

                instances.leaving shouldBe emptySet()
            }

            it("reported by other entries are added once") {
                val instances = LeavingInstances(ManualClock())

                instances.addLeaving(listOf(first)) shouldBe setOf(first)
                instances.addLeaving(listOf(first)) shouldBe emptySet()
            }
        }

        describe("suspected entries") {
            fun location(name: String, region: String) =
                EntryLocation(InstanceId(name), RegionId(region), FailureDomainId("$region-1"))

            val own = location("own", "east")
            val near = location("near", "east")
            val far = List(4) { location("far-$it", "west") }
            val all = listOf(own, near) + far

            it("are left out until the suspicion expires") {
                val clock = ManualClock()
                val suspected = SuspectedEntries(clock, own)
                suspected.suspect(near)
                suspected.withoutSuspected(all) shouldBe all - near

                clock.advance(SuspectedEntries.DEFAULT_DURATION_MILLISECONDS)
                suspected.withoutSuspected(all) shouldBe all
            }

            it("cause another region to be left out once two of its entries are suspected") {
                val suspected = SuspectedEntries(ManualClock(), own)
                suspected.suspect(far[0])
                suspected.withoutSuspected(all) shouldBe all - far[0]

                suspected.suspect(far[1])
                suspected.withoutSuspected(all) shouldBe listOf(own, near)

                suspected.clear(far[2])
                suspected.withoutSuspected(all) shouldBe all
            }
        }
    })
