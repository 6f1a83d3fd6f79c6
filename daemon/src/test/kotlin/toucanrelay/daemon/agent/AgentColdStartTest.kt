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
 * Until the first refusal comes back no more than all slots can be filled anew; the first request finds the engine full
 * of earlier work, and each further overload takes as many requests as a cold engine bears, and one.
 */
private const val MOST_OVERLOADS = 1 + (SLOTS - 1) / (COLD_SLOTS + 1)

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

/** Sends requests from many entries at once for as long as [lasts]; refusals are expected. */
private suspend fun CoroutineScope.flood(
    agent: AgentFixture,
    entry: TestEntry,
    name: String,
    lasts: () -> Boolean,
) = (1..24)
    .map { sender ->
        async {
            var sent = 0
            while (lasts()) {
                agent.stub.serve(entry.modelRequest("$name-$sender-${++sent}", 20)).collectAll()
                delay(1)
            }
        }
    }.awaitAll()

class AgentColdStartTest :
    DescribeSpec({
        describe("a target in its cold start") {
            it("is never overrun by many entries, and gets all its slots once it has shown that it bears them") {
                withColdEngine { engine, agent, entry ->
                    coroutineScope {
                        val deadline = System.nanoTime() + PATIENCE_MILLISECONDS * 1_000_000
                        flood(agent, entry, "cold") {
                            engine.counts.peakRequests < SLOTS && System.nanoTime() < deadline
                        }
                    }

                    engine.counts.coldOverloads shouldBe 0
                    engine.counts.peakRequests shouldBe SLOTS
                }
            }

            it("is cut back at once when it turns cold under load without warning") {
                withColdEngine { engine, agent, entry ->
                    coroutineScope {
                        val deadline = System.nanoTime() + PATIENCE_MILLISECONDS * 1_000_000
                        var completionsWanted = Long.MAX_VALUE
                        val load =
                            async {
                                flood(agent, entry, "load") {
                                    engine.counts.completions < completionsWanted && System.nanoTime() < deadline
                                }
                            }
                        eventually("warm") { engine.counts.peakRequests == SLOTS }
                        engine.turnCold(losesStreams = false)
                        eventually("cut back") { agent.meters.counter("toucanrelay.agent.limit.cuts").count() >= 1.0 }
                        completionsWanted = engine.counts.completions + 60
                        load.await()

                        (engine.counts.coldOverloads <= MOST_OVERLOADS) shouldBe true
                        (engine.counts.completions >= completionsWanted) shouldBe true
                    }
                }
            }
        }
    })
