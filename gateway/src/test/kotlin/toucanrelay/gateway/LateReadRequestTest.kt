package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

private const val CALLERS = 10
private const val PAUSE_MILLISECONDS = 900L

class LateReadRequestTest :
    DescribeSpec({
        val fixture = GatewayFixture()

        beforeSpec { fixture.start() }

        afterSpec { fixture.kill() }

        describe("requests whose time is over before they are read, as the event loop is held up") {
            it("are sent to no target") {
                fixture.targets.forEach { it.receivedRequests.clear() }
                coroutineScope {
                    val pause = async { fixture.occupyEventLoop(PAUSE_MILLISECONDS) }
                    delay(PAUSE_MILLISECONDS / 3)
                    val answers =
                        List(CALLERS) {
                            async { fixture.send("/calls/x", deadlineMilliseconds = PAUSE_MILLISECONDS / 3) }
                        }
                    answers.forEach { it.await().status shouldBe 503 }
                    pause.await()
                }
                fixture.receivedCount() shouldBe 0
            }
        }

        describe("requests that arrive while the event loop is held up, and whose callers leave before they are read") {
            it("are sent to no target") {
                val callers = List(CALLERS) { RawCaller(fixture.callersPort) }
                withContext(Dispatchers.IO) {
                    callers.forEach {
                        it.write(RawRequest("/calls/x").text)
                        it.readResponse().status shouldBe 200
                    }
                    fixture.targets.forEach { it.receivedRequests.clear() }
                    val pause = launch { fixture.occupyEventLoop(PAUSE_MILLISECONDS) }
                    delay(PAUSE_MILLISECONDS / 3)
                    callers.forEach {
                        it.write(RawRequest("/calls/x").text)
                        it.close()
                    }
                    pause.join()
                    delay(PAUSE_MILLISECONDS / 3)
                }
                fixture.receivedCount() shouldBe 0
            }
        }
    })
