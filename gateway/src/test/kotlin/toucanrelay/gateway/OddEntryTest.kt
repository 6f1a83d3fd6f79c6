package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** Deep enough for a stack of any usual size. */
private const val DEPTH = 50_000

private const val CALLS_FOR_A_READ_OF_EACH_TABLE = 8

class OddEntryTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture

        beforeEach {
            fixture = GatewayFixture()
            fixture.start()
        }

        afterEach { fixture.kill() }

        val deeplyNested = "{\"extra\":" + "[".repeat(DEPTH) + "]".repeat(DEPTH) + "}"

        suspend fun isUsed(index: Int): Boolean {
            fixture.targets.forEach { it.receivedRequests.clear() }
            repeat(12) { fixture.send("/calls/x").status shouldBe 200 }
            return fixture.targets[index].receivedRequests.isNotEmpty()
        }

        describe("a gateway that reads an odd entry of another writer") {
            it("follows the other targets") {
                fixture.store.putRegistration("odd", deeplyNested)
                fixture.store.putRegistration("target-1", null)
                fixture.eventually { !isUsed(0) }
                fixture.targets[0].let { fixture.store.putRegistration(it.id, it.registration("models", "domain")) }
                fixture.eventually { isUsed(0) }
            }

            it("follows the configuration after one that cannot be read, and keeps the last one until then") {
                fixture.store.putConfiguration(deeplyNested)
                val calls = fixture.store.calls
                fixture.eventually { fixture.store.calls >= calls + CALLS_FOR_A_READ_OF_EACH_TABLE }
                repeat(12) { fixture.send("/calls/x").status shouldBe 200 }
                fixture.store.putConfiguration(fixture.configuration(2, KEY, "added"))
                fixture.eventually { fixture.send("/calls/x", key = "added").status == 200 }
            }
        }
    })
