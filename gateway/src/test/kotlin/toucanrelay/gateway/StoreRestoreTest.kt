package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay

private const val REVOCATION_MILLISECONDS = 3_500.0

/** Longer than a configuration is valid without confirmation. */
private const val LONG_AFTER_MILLISECONDS = 5_000L

class StoreRestoreTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture

        beforeEach {
            fixture = GatewayFixture()
            fixture.start(REVOCATION_MILLISECONDS)
        }

        afterEach { fixture.kill() }

        describe("a store that returns to an earlier copy") {
            it("does not end the service, and later changes come into force") {
                fixture.store.backUp()
                fixture.store.putConfiguration(fixture.configuration(2, KEY, "early"))
                fixture.eventually { fixture.send("/calls/x", key = "early").status == 200 }
                fixture.store.restore()
                delay(LONG_AFTER_MILLISECONDS)
                fixture.send("/calls/x").status shouldBe 200
                fixture.store.putConfiguration(fixture.configuration(3, KEY, "added"))
                fixture.eventually { fixture.send("/calls/x", key = "added").status == 200 }
            }

            it("does not bring back a configuration that was replaced") {
                fixture.store.backUp()
                fixture.store.putConfiguration(fixture.configuration(2, KEY))
                fixture.store.putConfiguration(fixture.configuration(3, "other"))
                fixture.eventually { fixture.send("/calls/x").status == 401 }
                fixture.store.restore()
                repeat(10) {
                    fixture.send("/calls/x").status shouldBe 401
                    delay(LONG_AFTER_MILLISECONDS / 10)
                }
            }

            it("does not put a failure domain back into service before operators have had time to repeat the change") {
                fixture.store.backUp()
                fixture.store.putOutOfService("domain", isOutOfService = true)
                fixture.eventually { fixture.send("/calls/x").status == 503 }
                fixture.store.restore()
                delay(LONG_AFTER_MILLISECONDS / 5)
                fixture.send("/calls/x").status shouldBe 503
                fixture.store.putOutOfService("domain", isOutOfService = true)
                delay(LONG_AFTER_MILLISECONDS)
                fixture.send("/calls/x").status shouldBe 503
            }

            it("does not bring back a target that has left") {
                fixture.store.backUp()
                fixture.store.putRegistration("target-1", null)
                fixture.eventually {
                    fixture.targets[0].receivedRequests.clear()
                    repeat(8) { fixture.send("/calls/x") }
                    fixture.targets[0].receivedRequests.isEmpty()
                }
                fixture.store.restore()
                repeat(20) {
                    fixture.send("/calls/x").status shouldBe 200
                    delay(LONG_AFTER_MILLISECONDS / 20)
                }
                fixture.targets[0].receivedRequests.size shouldBe 0
            }

            it("has the versions of targets written again that were in service since") {
                fixture.eventually { fixture.store.value("streams", "gateway-1") != null }
                fixture.store.put("streams", "gateway-1", null)
                fixture.store.backUp()
                fixture.store.restore()
                fixture.eventually { fixture.store.value("streams", "gateway-1") != null }
            }

            it("has the gateway's own registration written again") {
                fixture.store.put("members", "gateway-1", null)
                fixture.store.backUp()
                fixture.store.restore()
                fixture.eventually { fixture.store.value("members", "gateway-1") != null }
            }
        }
    })
