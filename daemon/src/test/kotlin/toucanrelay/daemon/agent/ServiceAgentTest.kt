package toucanrelay.daemon.agent

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import toucanrelay.standins.PlainService

class ServiceAgentTest :
    DescribeSpec({
        describe("an agent of a plain service") {
            it("relays method, path, body, status and headers") {
                val service = PlainService()
                val agent = AgentFixture(service.start(), FakeFleet(bundleOf(pools = setOf(BALES)))).start()
                val entry = TestEntry(agent.identity)
                eventually("ready") {
                    agent.stub
                        .serve(entry.serviceRequest("warm-up", "GET", "/echo", ""))
                        .collectAll()
                        .last()
                        .hasEnd()
                }

                val call = entry.serviceRequest("release", "PUT", "/echo/bales?rag=2", "seven bales")
                val events = agent.stub.serve(call).collectAll()

                events.body().decodeToString() shouldBe "seven bales"
                val headers = events[1].head.headersList.associate { it.name.lowercase() to it.value }
                headers["x-echo-method"] shouldBe "PUT"
                headers["x-echo-path"] shouldBe "/echo/bales?rag=2"
                events.filter { it.hasEnd() }.shouldNotBeEmpty()
                agent.stop()
                service.stop()
            }
        }
    })
