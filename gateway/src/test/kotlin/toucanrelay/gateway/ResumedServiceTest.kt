package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.platform.standin.StreamTakeUp
import toucanrelay.platform.standin.TargetScript

private const val OTHER_SERVICE = "others"
private const val STREAMS = 10
private const val TAKE_UPS = 8

/** Guards against streams of a divided route that go on at another service, chosen by the id of the request that resumes. */
class ResumedServiceTest :
    DescribeSpec({
        val fixture = GatewayFleetFixture(targets = 2)

        afterSpec { fixture.stop() }

        describe("a stream of a route that is divided between two services") {
            it("goes on at the service that began it") {
                val script =
                    TargetScript { request, received, target ->
                        val last = received.headers["last-event-id"]?.toInt() ?: 0
                        target.respondWithStream(request, received, last + 1, last + 1)
                    }
                fixture.start(script) {
                    val weights = mapOf(GatewayFleetFixture.SERVICE to 1.0, OTHER_SERVICE to 1.0)
                    route("/streams/", GatewayFleetFixture.SERVICE, "streaming", isResumable = true, weights = weights)
                    service(GatewayFleetFixture.SERVICE)
                    service(OTHER_SERVICE)
                }
                val other = fixture.targets.last()
                fixture.store.putRegistration(other.id, other.registration(OTHER_SERVICE, "domain"))
                fixture.startGateway("/streams/x")
                repeat(STREAMS) { stream ->
                    val begun = fixture.send(0, "/streams/x", id = "first-$stream")
                    val takeUps =
                        List(TAKE_UPS) {
                            fixture.send(0, "/streams/x", takeUp = StreamTakeUp(1, "first-$stream"))
                        }
                    takeUps.map { it.headers["x-response-seal"] }.toSet() shouldBe
                        setOf(begun.headers["x-response-seal"])
                }
            }
        }
    })
