package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import toucanrelay.platform.standin.ReceivedRequest
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn

private const val REQUESTS = 30

/** An answer with which a target says that it is leaving. */
private class LeavingAnswer(
    val description: String,
    val path: String,
    val respond: TargetStandIn.(HttpServerRequest, ReceivedRequest) -> Unit,
)

private val LEAVING_ANSWERS =
    listOf(
        LeavingAnswer("an answer", "/calls/x") { request, received -> respond(request, received, "whole") },
        LeavingAnswer("an error of its own", "/calls/x") { request, received ->
            respond(request, received, "failed", status = 500)
        },
        LeavingAnswer("a refusal", "/calls/x") { request, received -> reject(request, received) },
        LeavingAnswer("the head of a stream", "/chats/x") { request, received ->
            respondWithStream(request, received, 1, 3)
        },
    )

class LeavingTargetTest :
    DescribeSpec({
        describe("one gateway") {
            lateinit var fixture: GatewayFixture
            lateinit var leaving: TargetStandIn
            lateinit var other: TargetStandIn

            beforeEach {
                fixture = GatewayFixture()
                fixture.start()
                leaving = fixture.targets[0]
                other = fixture.targets[1]
            }

            afterEach { fixture.kill() }

            /** Lets the target respond with [answer] and say in it what [state] adds, until it has got a request. */
            suspend fun letTell(answer: LeavingAnswer, state: TargetStandIn.(HttpServerRequest) -> Unit) {
                leaving.script =
                    TargetScript { request, received, target ->
                        target.state(request)
                        answer.respond(target, request, received)
                    }
                fixture.reach(leaving, answer.path)
                fixture.targets.forEach { it.receivedRequests.clear() }
            }

            LEAVING_ANSWERS.forEach { answer ->
                it("sends nothing more to a target that says that it is leaving with ${answer.description}") {
                    letTell(answer) { stateLeaving(it) }
                    repeat(REQUESTS) { fixture.send("/calls/x").status shouldBe 200 }
                    leaving.receivedRequests.size shouldBe 0
                    other.receivedRequests.size shouldBe REQUESTS
                }
            }

            it("goes on using a target whose statement is not valid, or in an answer that is not its own") {
                val notOwn =
                    LeavingAnswer("an answer to another request", "/calls/x") { request, _ ->
                        request.response().putHeader("X-Request-Id", "other").end("whole")
                    }
                letTell(LEAVING_ANSWERS.first()) { it.response().putHeader("Server-Leaving", "0") }
                letTell(notOwn) { stateLeaving(it) }
                fixture.metrics() shouldContain "toucanrelay_leaving_targets_total{source=\"answer\"} 0.0"
                fixture.reach(leaving)
            }

            it("lets a stream end that runs on a target when it says that it is leaving") {
                fixture.targets.forEach { target ->
                    target.script =
                        TargetScript { request, received, _ ->
                            if (received.path ==
                                "/calls/x"
                            ) {
                                return@TargetScript target.respond(request, received, "whole")
                            }
                            target.stateLeaving(request)
                            val response = target.beginStream(request, received)
                            response.write("id: 1\ndata: event 1\n\n")
                            fixture.vertx.setTimer(600) { response.end("id: 2\ndata: event 2\n\n") }
                        }
                }
                coroutineScope {
                    val stream = async { fixture.send("/chats/x") }
                    fixture.eventually { fixture.metrics().contains("leaving_targets_total{source=\"answer\"} 1.0") }
                    val used = fixture.targets.single { it.receivedRequests.isNotEmpty() }
                    repeat(5) { fixture.send("/calls/x").status shouldBe 200 }
                    used.receivedRequests.size shouldBe 1
                    stream.await().body shouldContain "event 2"
                }
            }

            it("uses the next run of the target under its id, and keeps to the statement for the same run") {
                letTell(LEAVING_ANSWERS.first()) { stateLeaving(it) }
                leaving.script =
                    TargetScript { request, received, target -> target.respond(request, received, "whole") }
                fixture.store.putRegistration(leaving.id, null)
                fixture.store.putRegistration(leaving.id, leaving.registration("models", "domain"))
                fixture.store.putConfiguration(fixture.configuration(2))
                fixture.eventually { fixture.metrics().contains("toucanrelay_configuration_version 2.0") }
                repeat(REQUESTS) { fixture.send("/calls/x") }
                leaving.receivedRequests.size shouldBe 0
                fixture.store.putRegistration(leaving.id, leaving.registration("models", "domain", incarnation = 2))
                fixture.reach(leaving)
            }

            it("refuses requests at once when all targets are leaving, and counts them") {
                val tell =
                    TargetScript { request, received, target ->
                        target.stateLeaving(request)
                        target.respond(request, received, "whole")
                    }
                fixture.targets.forEach { it.script = tell }
                fixture.eventually { fixture.send("/calls/x").status == 503 }
                val answer = fixture.send("/calls/x")
                answer.body shouldBe "no-target\n"
                answer.headers["retry-after"] shouldNotBe null
                fixture.metrics() shouldContain "toucanrelay_leaving_targets_total{source=\"answer\"} 2.0"
            }
        }

        describe("several gateways") {
            val fleet = GatewayFleetFixture(targets = 2)

            afterEach { fleet.stop() }

            it("tell each other which targets said that they are leaving") {
                val script =
                    TargetScript { request, received, target ->
                        if (target.id == "target-0" && received.path == "/calls/tell") target.stateLeaving(request)
                        target.respond(request, received, "whole")
                    }
                fleet.start(script) {
                    route("/calls/", GatewayFleetFixture.SERVICE, "idempotent")
                    service(GatewayFleetFixture.SERVICE)
                }
                repeat(3) { fleet.startGateway("/calls/x") }
                fleet.awaitExchange()
                repeat(REQUESTS) { fleet.send(0, "/calls/tell") }
                fleet.awaitExchange()
                fleet.targets.forEach { it.receivedRequests.clear() }
                repeat(REQUESTS) { fleet.send(1 + it % 2, "/calls/x").status shouldBe 200 }
                fleet.targets[0].receivedRequests.size shouldBe 0
            }
        }
    })
