package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger

private const val STREAMS = 20
private const val PARALLEL_CALLS = 8
private const val MIN_CALLS = 40
private const val COMMON_PARTS = 766
private const val OWN_PARTS = 384

/** Returns the parts of a prompt; all but the last third are the same in each prompt. */
private fun promptOfManyParts(number: Int): List<String> =
    List(COMMON_PARTS) { "%08x".format(it) } + List(OWN_PARTS) { "%08x".format((number + 1) * 2_000 + it) }

/** Guards against streams that cannot go on since what callers name in their prompts kept digests from being sent. */
class LongPromptsTest :
    DescribeSpec({
        lateinit var fixture: VersionedFleetFixture

        afterEach { fixture.stop() }

        it("streams of a killed gateway that also served prompts of very many parts go on at another one") {
            fixture = VersionedFleetFixture(listOf("v1", "v1", "v2"), joining = "v2")
            fixture.start(gateways = 2)
            val calls = AtomicInteger()
            val streams =
                coroutineScope {
                    val callers =
                        launch {
                            while (isActive) {
                                List(PARALLEL_CALLS) {
                                    async {
                                        fixture
                                            .call(
                                                promptOfManyParts(calls.getAndIncrement()),
                                            ).status shouldBe 200
                                    }
                                }.awaitAll()
                            }
                        }
                    while (calls.get() < MIN_CALLS) fixture.awaitExchange()
                    val begun = List(STREAMS) { fixture.breakStream(gateway = 0) }
                    fixture.awaitExchange()
                    callers.cancel()
                    begun
                }
            fixture.killGateway(0)
            fixture.join("v2")
            streams.count { fixture.takeUp(it, gateway = 1).status == 200 } shouldBe STREAMS
        }
    })
