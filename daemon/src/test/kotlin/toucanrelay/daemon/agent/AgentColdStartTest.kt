package toucanrelay.daemon.agent

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import toucanrelay.standins.ColdStart
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.EngineTiming
import toucanrelay.standins.ModelEngine

private const val SLOTS = 8
private const val COLD_SLOTS = 2

/**
 * Maximum number of overloads after the engine turns cold.
 *
 * At most [SLOTS] requests can start before the first refusal arrives. The first of them finds the engine full of earlier
 * requests; each further overload needs one request more than the [COLD_SLOTS] that a cold engine can run.
 */
private const val MAX_OVERLOADS = 1 + (SLOTS - 1) / (COLD_SLOTS + 1)

private suspend fun withColdEngine(test: suspend (ModelEngine, AgentFixture, TestEntry) -> Unit) {
    val engine =
        ModelEngine(
            EngineSettings(
                slots = SLOTS,
                timing = EngineTiming(stepMilliseconds = 2.0, stepMillisecondsPerRequest = 0.1),
                coldStart =
                    ColdStart(
                        startsCold = true,
                        requests = COLD_SLOTS,
                        completions = 8,
                        warmUpMilliseconds = 600_000,
                    ),
                loadLagMilliseconds = 200,
            ),
        )
    val agent = AgentFixture(engine.start(), FakeFleet(bundleOf(slots = SLOTS, coldSlots = COLD_SLOTS))).start()
    try {
        test(engine, agent, TestEntry(agent.identity))
    } finally {
        agent.stop()
        engine.stop()
    }
}

/** Sends requests from many concurrent senders while [condition] holds; refusals are expected. */
private suspend fun CoroutineScope.flood(
    agent: AgentFixture,
    entry: TestEntry,
    name: String,
    condition: () -> Boolean,
) = (1..24)
    .map { sender ->
        async {
            var sent = 0
            while (condition()) {
                agent.stub.serve(entry.modelRequest("$name-$sender-${++sent}", 20)).collectAll()
                delay(1)
            }
        }
    }.awaitAll()

class AgentColdStartTest :
    DescribeSpec({
        describe("a cold target") {
            it("is never overloaded by many senders, and uses all its slots after it has warmed up") {
                withColdEngine { engine, agent, entry ->
                    coroutineScope {
                        val deadline = System.nanoTime() + TEST_TIMEOUT_MILLISECONDS * 1_000_000
                        flood(agent, entry, "cold") {
                            engine.counts.peakRequests < SLOTS && System.nanoTime() < deadline
                        }
                    }

                    engine.counts.coldOverloads shouldBe 0
                    engine.counts.peakRequests shouldBe SLOTS
                }
            }

            it("has its limit cut when it turns cold under load") {
                withColdEngine { engine, agent, entry ->
                    coroutineScope {
                        val deadline = System.nanoTime() + TEST_TIMEOUT_MILLISECONDS * 1_000_000
                        var requiredCompletions = Long.MAX_VALUE
                        val load =
                            async {
                                flood(agent, entry, "load") {
                                    engine.counts.completions < requiredCompletions && System.nanoTime() < deadline
                                }
                            }
                        eventually("warm") { engine.counts.peakRequests == SLOTS }
                        engine.restartCold(losesStreams = false)
                        eventually("limit cut") { agent.meters.counter("toucanrelay.agent.limit.cuts").count() >= 1.0 }
                        requiredCompletions = engine.counts.completions + 60
                        load.await()

                        (engine.counts.coldOverloads <= MAX_OVERLOADS) shouldBe true
                        (engine.counts.completions >= requiredCompletions) shouldBe true
                    }
                }
            }
        }
    })
