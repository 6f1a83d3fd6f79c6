package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.following.ReaderRank
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.ManualClock

private val ADDRESS = TargetAddress("10.0.0.2", 7_400)

private fun digest(sequence: Long, requests: Int, incarnation: Long = 1) =
    MemberDigest("b", incarnation, sequence, loads = listOf(TargetLoadEntry("t", requests, 10, 20, 30)))

private val REGIONS = mapOf("near" to RegionId("home"), "far" to RegionId("away"))

private fun view(self: String = "a", clock: ManualClock = ManualClock()) =
    FleetView(InstanceId(self), RegionId("home"), clock) { REGIONS[it.value] }

private fun offer(
    instance: String,
    ageMilliseconds: Long,
    domain: String = "near",
    isLeaving: Boolean = false,
) = MemberDigest(
    instance,
    incarnation = 1,
    sequence = 1,
    isLeaving = isLeaving,
    failureDomain = domain,
    tables = listOf(TableAgeEntry("targets", ageMilliseconds)),
)

class FleetViewTest :
    DescribeSpec({
        fun FleetView.requests() = loads()[TargetId("t")]?.load?.requests

        describe("a member that is overloaded") {
            fun ready(instance: String, isReady: Boolean = true, domain: String = "near") =
                MemberDigest(instance, incarnation = 1, sequence = 1, failureDomain = domain, isReady = isReady)

            val domain = FailureDomainId("near")

            it("can be replaced while half of its failure domain is ready without it") {
                val view = view()
                view.canReplaceSelf(domain) shouldBe false
                view.recordDigest(ready("b"), ADDRESS)
                view.canReplaceSelf(domain) shouldBe true
                view.recordDigest(ready("c", isReady = false), ADDRESS)
                view.canReplaceSelf(domain) shouldBe false
                view.recordDigest(ready("d"), ADDRESS)
                view.canReplaceSelf(domain) shouldBe true
            }

            it("is not replaced by members of other failure domains or by silent ones") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.recordDigest(ready("b", domain = "far"), ADDRESS)
                view.canReplaceSelf(domain) shouldBe false
                view.recordDigest(ready("c"), ADDRESS)
                clock.advance(10_000)
                view.canReplaceSelf(domain) shouldBe false
            }
        }

        // Guards against copies that look younger, and members that look alive, because a part of a digest was late.
        describe("a part of an earlier digest that arrives late") {
            it("does not make the member's copies look younger or the member alive") {
                fun part(sequence: Long, number: Int) =
                    MemberDigest(
                        "b",
                        incarnation = 1,
                        sequence = sequence,
                        failureDomain = "near",
                        tables = listOf(TableAgeEntry("targets", 100)),
                        part = number,
                        parts = 2,
                    )
                val clock = ManualClock()
                val view = view(clock = clock)
                view.recordDigest(part(2, number = 0), ADDRESS)
                clock.advance(1_500)
                view.recordDigest(part(1, number = 1), ADDRESS) shouldBe true
                view.bestOffer("targets")?.ageMilliseconds shouldBe 1_600
                clock.advance(1_000)
                view.bestOffer("targets") shouldBe null
            }
        }

        describe("the load of the other members") {
            it("comes from the newest digest, whatever the order of arrival") {
                val view = view()
                view.recordDigest(digest(2, requests = 5), ADDRESS) shouldBe true
                view.recordDigest(digest(1, requests = 9), ADDRESS) shouldBe false
                view.requests() shouldBe 5
            }

            it("comes from a member's new run also if its clock was set back in between") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.recordDigest(digest(50, requests = 5, incarnation = 9_000), ADDRESS)
                clock.advance(1_000)
                view.recordDigest(digest(1, requests = 1, incarnation = 7_000), ADDRESS) shouldBe false
                clock.advance(600)
                view.recordDigest(digest(2, requests = 1, incarnation = 7_000), ADDRESS) shouldBe true
                view.recordDigest(digest(3, requests = 2, incarnation = 7_000), ADDRESS) shouldBe true
                view.requests() shouldBe 2
            }

            it("comes from a member's later run, whose sequence starts again") {
                val view = view()
                view.recordDigest(digest(50, requests = 5), ADDRESS)
                view.recordDigest(digest(1, requests = 1, incarnation = 2), ADDRESS) shouldBe true
                view.requests() shouldBe 1
            }

            it("excludes a silent member, which still counts in the size of the fleet") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.recordDigest(digest(1, requests = 5), ADDRESS)
                clock.advance(2_001)
                view.requests() shouldBe null
                view.size shouldBe 2
            }

            it("excludes a member that is silent for a minute from the fleet until a later run registers") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.recordDigest(digest(1, requests = 5), ADDRESS)
                clock.advance(60_001)
                view.expireSilent()
                view.recordRegistration(InstanceId("b"), incarnation = 1, ADDRESS)
                view.size shouldBe 1
                view.recordRegistration(InstanceId("b"), incarnation = 2, ADDRESS)
                view.size shouldBe 2
            }

            it("excludes the process itself") {
                val view = view("b")
                view.recordDigest(digest(1, requests = 5), ADDRESS) shouldBe false
                view.size shouldBe 1
            }
        }

        describe("offered copies of tables") {
            it("age from the arrival of the digest, and one of this region is chosen before a slightly fresher one") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.recordDigest(offer("b", ageMilliseconds = 500), ADDRESS)
                view.recordDigest(offer("c", ageMilliseconds = 300, domain = "far"), ADDRESS)
                clock.advance(100)
                view.bestOffer("targets")?.instance shouldBe InstanceId("b")
                view.bestOffer("targets")?.ageMilliseconds shouldBe 600
                view.bestOffer("other") shouldBe null
            }

            it("of a member are ignored for a while after a failed read") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.recordDigest(offer("b", ageMilliseconds = 500), ADDRESS)
                view.recordFailedOffer(checkNotNull(view.bestOffer("targets")))
                view.bestOffer("targets") shouldBe null
                clock.advance(1_000)
                view.bestOffer("targets")?.instance shouldBe InstanceId("b")
            }
        }

        describe("the rank for reading from the store") {
            it("counts the live members of the region that are not leaving") {
                val instances = listOf("a", "b", "c", "d").map { InstanceId(it) }
                val last = instances.maxBy { ReaderRank.of(it, instances) }.value
                val view = view(self = last)
                val others = instances.map { it.value } - last
                view.recordDigest(offer(others[0], 0), ADDRESS)
                view.recordDigest(offer(others[1], 0, domain = "far"), ADDRESS)
                view.recordDigest(offer(others[2], 0, isLeaving = true), ADDRESS)
                view.readerRank() shouldBe 1
            }
        }
    })
