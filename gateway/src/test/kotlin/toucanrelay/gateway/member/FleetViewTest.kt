package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.ManualClock

private val ADDRESS = TargetAddress("10.0.0.2", 7_400)

private fun digest(sequence: Long, requests: Int, incarnation: Long = 1) =
    MemberDigest("b", incarnation, sequence, loads = listOf(TargetLoadEntry("t", requests, 10, 20, 30)))

class FleetViewTest :
    DescribeSpec({
        fun FleetView.requests() = loads()[TargetId("t")]?.load?.requests

        describe("what the other members have in flight") {
            it("is taken from the newest digest, whatever the order of arrival") {
                val view = FleetView(InstanceId("a"), ManualClock())
                view.note(digest(2, requests = 5), ADDRESS) shouldBe true
                view.note(digest(1, requests = 9), ADDRESS) shouldBe false
                view.requests() shouldBe 5
            }

            it("is taken from a member's later run, whose digests count anew") {
                val view = FleetView(InstanceId("a"), ManualClock())
                view.note(digest(50, requests = 5), ADDRESS)
                view.note(digest(1, requests = 1, incarnation = 2), ADDRESS) shouldBe true
                view.requests() shouldBe 1
            }

            it("is forgotten when a member is silent, while it still counts for shared budgets") {
                val clock = ManualClock()
                val view = FleetView(InstanceId("a"), clock)
                view.note(digest(1, requests = 5), ADDRESS)
                clock.advance(1_501)
                view.requests() shouldBe null
                view.size shouldBe 2
            }

            it("leaves out the process itself") {
                val view = FleetView(InstanceId("b"), ManualClock())
                view.note(digest(1, requests = 5), ADDRESS) shouldBe false
                view.size shouldBe 1
            }
        }
    })
