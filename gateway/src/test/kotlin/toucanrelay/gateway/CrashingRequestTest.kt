package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

/** Crashes after which a request must not be sent on, and requests allowed beyond them. */
private const val MAX_CRASHES = 3 + 3
private const val REQUESTS = 10
private const val GATEWAYS = 3

class CrashingRequestTest :
    DescribeSpec({
        mapOf(
            "/chats/x" to true,
            "/streams/x" to true,
            "/calls/x" to false,
        ).forEach { (path, isModelService) ->
            describe("a request to $path that crashes each target that begins to run it and comes again") {
                lateinit var fixture: CrashingFleetFixture

                beforeEach {
                    fixture = CrashingFleetFixture(isModelService)
                    fixture.start(GATEWAYS)
                }

                afterEach { fixture.stop() }

                /** Sends the request to the gateways in turn, and others with the same prompt in between. */
                suspend fun sendCrashing(): Int {
                    val statuses =
                        (0 until REQUESTS).map { number ->
                            val answer = runCatching { fixture.sendBody(number % GATEWAYS, path, CRASHING_BODY) }
                            fixture.awaitExchange()
                            fixture.sendBody((number + 1) % GATEWAYS, path, "sound $number").status shouldBe 200
                            answer.getOrNull()?.status
                        }
                    return statuses.last() ?: 0
                }

                it("crashes a few targets only and is then refused as not run, at gateways that start later too") {
                    sendCrashing() shouldBe 503
                    fixture.crashes shouldBeLessThanOrEqual MAX_CRASHES
                    val crashes = fixture.crashes
                    fixture.startGateway()
                    fixture.awaitExchange()
                    fixture.sendBody(GATEWAYS, path, CRASHING_BODY).status shouldBe 503
                    fixture.crashes shouldBe crashes
                    fixture.sendBody(GATEWAYS, path, "another body").status shouldBe 200
                }
            }
        }
    })
