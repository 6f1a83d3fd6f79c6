package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe

private val ODD_STATUSES =
    listOf("000", "001", "099", "20", "600", "999", "2000", "-20", "2x0", "", "101", "102", "104", "199")

private fun answer(status: String, id: String, more: String = "") =
    "HTTP/1.1 $status Odd\r\nX-Request-Id: $id\r\nX-Response-Seal: seal\r\n${more}Content-Length: 4\r\n\r\nodd!"

/** Guards against answers whose status is none that a final answer can have, passed on to callers. */
class OddStatusTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture
        lateinit var targets: List<KeptTargetStandIn>

        suspend fun start(script: (KeptExchange) -> Unit) {
            fixture = GatewayFixture()
            fixture.start()
            targets = List(2) { KeptTargetStandIn(script) }
            fixture.replaceTargets(targets)
        }

        afterEach {
            fixture.kill()
            targets.forEach { it.stop() }
        }

        describe("an answer with the status") {
            ODD_STATUSES.forEach { status ->
                it("'$status' is no answer, and the request may have run") {
                    start {
                        it.write(answer(status, it.id))
                        it.closeAtOnce()
                    }
                    fixture.send("/orders/x", id = "order").status shouldBe 502
                    targets.flatMap { it.received }.map { it.id } shouldContainExactlyInAnyOrder listOf("order")
                    fixture.send("/calls/x", id = "call").status shouldBe 502
                    targets.map { target -> target.received.count { it.id == "call" } } shouldBe listOf(1, 1)
                }
            }

            it("'000' promises nothing, whatever else it says") {
                start {
                    it.write(answer("000", it.id, more = "X-Not-Executed: 1\r\n"))
                    it.closeAtOnce()
                }
                fixture.send("/orders/x").status shouldBe 502
                targets.sumOf { it.received.size } shouldBe 1
            }
        }
    })
