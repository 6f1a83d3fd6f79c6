package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.following.ReaderRank
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

        describe("what the other members have in flight") {
            it("is taken from the newest digest, whatever the order of arrival") {
                val view = view()
                view.note(digest(2, requests = 5), ADDRESS) shouldBe true
                view.note(digest(1, requests = 9), ADDRESS) shouldBe false
                view.requests() shouldBe 5
            }

            it("is taken from a member's later run, whose digests count anew") {
                val view = view()
                view.note(digest(50, requests = 5), ADDRESS)
                view.note(digest(1, requests = 1, incarnation = 2), ADDRESS) shouldBe true
                view.requests() shouldBe 1
            }

            it("is forgotten when a member is silent, while it still counts for shared budgets") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.note(digest(1, requests = 5), ADDRESS)
                clock.advance(2_001)
                view.requests() shouldBe null
                view.size shouldBe 2
            }

            it("of a member that is silent for a minute counts no longer, until a later run registers") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.note(digest(1, requests = 5), ADDRESS)
                clock.advance(60_001)
                view.forgetSilent()
                view.noteRegistered(InstanceId("b"), incarnation = 1, ADDRESS)
                view.size shouldBe 1
                view.noteRegistered(InstanceId("b"), incarnation = 2, ADDRESS)
                view.size shouldBe 2
            }

            it("leaves out the process itself") {
                val view = view("b")
                view.note(digest(1, requests = 5), ADDRESS) shouldBe false
                view.size shouldBe 1
            }
        }

        describe("copies of tables that members offer") {
            it("age from the moment at which they were told, and the freshest near one is chosen") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.note(offer("b", ageMilliseconds = 500), ADDRESS)
                view.note(offer("c", ageMilliseconds = 300, domain = "far"), ADDRESS)
                clock.advance(100)
                view.bestOffer("targets")?.instance shouldBe InstanceId("b")
                view.bestOffer("targets")?.ageMilliseconds shouldBe 600
                view.bestOffer("other") shouldBe null
            }

            it("are not asked for again at once when a member did not give them") {
                val clock = ManualClock()
                val view = view(clock = clock)
                view.note(offer("b", ageMilliseconds = 500), ADDRESS)
                view.noteOfferFailed(checkNotNull(view.bestOffer("targets")))
                view.bestOffer("targets") shouldBe null
                clock.advance(1_000)
                view.bestOffer("targets")?.instance shouldBe InstanceId("b")
            }
        }

        describe("the rank of a reader") {
            it("counts the live members of the region that stay") {
                val instances = listOf("a", "b", "c", "d").map { InstanceId(it) }
                val last = instances.maxBy { ReaderRank.of(it, instances) }.value
                val view = view(self = last)
                val others = instances.map { it.value } - last
                view.note(offer(others[0], 0), ADDRESS)
                view.note(offer(others[1], 0, domain = "far"), ADDRESS)
                view.note(offer(others[2], 0, isLeaving = true), ADDRESS)
                view.readerRank() shouldBe 1
            }
        }
    })
