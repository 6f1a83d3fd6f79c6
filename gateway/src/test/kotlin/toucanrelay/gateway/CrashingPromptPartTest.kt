package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

/** Crashes after which no further target may receive a request with the part, and requests allowed beyond them. */
private const val MAX_CRASHES = 5 + 3
private const val REQUESTS = 14
private const val GATEWAYS = 3

class CrashingPromptPartTest :
    DescribeSpec({
        lateinit var fixture: CrashingFleetFixture

        beforeEach {
            fixture = CrashingFleetFixture()
            fixture.start(GATEWAYS)
        }

        afterEach { fixture.stop() }

        /** Sends requests with the crashing part to the gateways in turn, time enough apart that they can exchange news. */
        suspend fun sendCrashing(count: Int = REQUESTS, path: String = "/chats/x") =
            (0 until count).map { number ->
                val answer = runCatching { fixture.send(number % GATEWAYS, "a1", CRASHING_PART, path = path) }
                fixture.awaitExchange()
                answer.getOrNull()?.status
            }

        describe("requests with a prompt part that crashes each target that begins to answer them") {
            it("crash a few targets of the fleet only, whichever gateways they reach") {
                sendCrashing()
                fixture.crashes shouldBeLessThanOrEqual MAX_CRASHES
            }

            it("are then refused as not run") {
                sendCrashing().last() shouldBe 503
            }

            it("are refused by a gateway that starts later and by the others when one is lost") {
                sendCrashing()
                val crashes = fixture.crashes
                fixture.startGateway()
                fixture.awaitExchange()
                fixture.send(GATEWAYS, "a1", CRASHING_PART).status shouldBe 503
                fixture.crashes shouldBe crashes
            }

            it("are not sent to a second target once a target is known to have crashed on the part") {
                sendCrashing(count = 1)
                val crashes = fixture.crashes
                runCatching { fixture.send(1, "a1", CRASHING_PART, path = "/streams/x") }
                fixture.crashes shouldBe crashes + 1
            }

            it("do not stop requests that share their other parts") {
                sendCrashing()
                repeat(GATEWAYS) { fixture.send(it, "a1", "b2").status shouldBe 200 }
            }
        }

        describe("requests whose answers targets lose without crashing") {
            it("are served again afterwards") {
                fixture.loseAnswersTo("b2")
                repeat(REQUESTS) { runCatching { fixture.send(it % GATEWAYS, "a1", "b2", path = "/chats/x") } }
                fixture.awaitExchange()
                fixture.loseAnswersTo("none")
                repeat(GATEWAYS) { fixture.send(it, "a1", "b2").status shouldBe 200 }
            }
        }
    })
