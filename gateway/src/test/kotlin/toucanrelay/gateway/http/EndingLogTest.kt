package toucanrelay.gateway.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import toucanrelay.gateway.GatewayFixture
import toucanrelay.platform.standin.TargetScript

class EndingLogTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture

        beforeEach { fixture = GatewayFixture().also { it.start() } }
        afterEach { fixture.kill() }

        suspend fun count(meter: String) =
            checkNotNull(
                Regex("""(?m)^\Q$meter\E (\S+)""").find(fixture.metrics()),
            ) { "no $meter" }.groupValues[1].toDouble()

        describe("a connection that is closed because an answer that had begun was lost") {
            it("is counted with its reason, and not as a request without an ending") {
                fixture.targets.forEach {
                    it.script =
                        TargetScript { request, received, target ->
                            target.respondWithStream(request, received, 1, 3, isCut = true)
                        }
                }
                fixture.isAborted("/chats/x") shouldBe true
                fixture.eventually { count("""toucanrelay_closed_unanswered_total{reason="answer-lost"}""") == 1.0 }
                fixture.metrics() shouldContain
                    """toucanrelay_closed_unanswered_total{reason="unexpected-failure"} 0.0"""
                count("toucanrelay_unended_requests_total") shouldBe 0.0
            }
        }
    })
