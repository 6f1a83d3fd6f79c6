package toucanrelay.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrowAny
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration.Companion.seconds

private suspend fun withEngine(
    settings: EngineSettings = EngineSettings(),
    test: suspend (ModelEngine, HttpCalls) -> Unit,
) {
    val engine = ModelEngine(settings)
    val calls = HttpCalls(engine.start())
    try {
        test(engine, calls)
    } finally {
        engine.stop()
    }
}

private val fast = EngineTiming(stepMilliseconds = 1.0, stepMillisecondsPerRequest = 0.0, firstTokenMilliseconds = 0.0)
private val slow = EngineTiming(stepMilliseconds = 20.0)

class ModelEngineTest :
    DescribeSpec({
        describe("an answer") {
            it("depends only on the request, not on the engine") {
                withEngine { _, first ->
                    withEngine { _, second ->
                        val body = chatBody(5)
                        first.post(COMPLETIONS, body).body() shouldBe second.post(COMPLETIONS, body).body()
                        val streamed = chatBody(5, stream = true)
                        first.post(COMPLETIONS, streamed).body() shouldBe second.post(COMPLETIONS, streamed).body()
                    }
                }
            }

            it("differs with the prompt") {
                withEngine { _, calls ->
                    val one = calls.post(COMPLETIONS, chatBody(5, prompt = "one")).body()
                    calls.post(COMPLETIONS, chatBody(5, prompt = "two")).body() shouldNotBe one
                }
            }

            it("has stop_after tokens when the max_tokens hint is wrong") {
                withEngine { _, calls ->
                    calls.post(COMPLETIONS, chatBody(100, stopAfter = 3)).body() shouldContain "\"completion_tokens\":3"
                }
            }

            it("numbers the events, with the usage in the last but one and [DONE] in the last") {
                withEngine { _, calls ->
                    val body = calls.post(COMPLETIONS, chatBody(3, stream = true)).body()
                    val events = body.trim().split("\n\n")
                    events.map { it.substringBefore('\n') } shouldBe (1..5).map { "id: $it" }
                    events[3] shouldContain "\"completion_tokens\":3"
                    events[4] shouldEndWith "data: [DONE]"
                }
            }

            it("is rejected for a model that is not loaded or a malformed body") {
                withEngine { _, calls ->
                    calls.post(COMPLETIONS, """{"model":"other","messages":[]}""").statusCode() shouldBe 404
                    calls.post(COMPLETIONS, "{").statusCode() shouldBe 400
                }
            }
        }

        describe("the batch") {
            it("runs one request per slot and queues the others") {
                withEngine(EngineSettings(slots = 2, timing = fast)) { engine, calls ->
                    val answers = (1..6).map { calls.sendAsync("POST", COMPLETIONS, chatBody(20, prompt = "p$it")) }
                    answers.forEach { it.get(20, TimeUnit.SECONDS).statusCode() shouldBe 200 }
                    engine.counts.peakRequests shouldBeGreaterThan 2
                    engine.counts.completions shouldBe 6
                    engine.running shouldBe 0
                }
            }

            it("takes longer per step as it fills") {
                val timing = EngineTiming(stepMilliseconds = 4.0, stepMillisecondsPerRequest = 2.0)
                timing.stepMilliseconds(1) shouldBe 6.0
                timing.stepMilliseconds(8) shouldBe 20.0
            }

            it("sums the busy time of its slots") {
                withEngine(EngineSettings(timing = slow)) { engine, calls ->
                    calls.post(COMPLETIONS, chatBody(10))
                    // Ten steps of at least 20 ms in one slot.
                    200L shouldBeLessThanOrEqualTo engine.counts.busySlotMilliseconds
                }
            }
        }

        describe("a broken stream") {
            it("continues and can be resumed after the last received event") {
                withEngine(EngineSettings(timing = slow)) { engine, calls ->
                    val whole = calls.post(COMPLETIONS, chatBody(30, stream = true)).body()
                    val lines = calls.openLines(COMPLETIONS, chatBody(30, stream = true), "X-Request-Id", "r1")
                    lines.next() shouldBe "id: 1"
                    val rest = calls.withNewConnections().get("/v1/streams/r1", "Last-Event-ID", "7")
                    rest.body() shouldBe whole.substring(whole.indexOf("id: 8\n"))
                    engine.runs("r1") shouldBe 1
                }
            }

            it("keeps its state after the end until the resume grace period is over") {
                withEngine(EngineSettings(resumeGraceMilliseconds = 200)) { _, calls ->
                    calls.post(COMPLETIONS, chatBody(2), "X-Request-Id", "r2")
                    val state = calls.get("/v1/streams/r2/state").body()
                    state shouldBe """{"lastEventId":4,"finished":true,"running":false}"""
                    eventually(10.seconds) { calls.get("/v1/streams/r2/state").statusCode() shouldBe 404 }
                }
            }
        }

        describe("a cancelled stream") {
            it("frees its slot and aborts the answer") {
                withEngine(EngineSettings(timing = slow)) { engine, calls ->
                    val answer = calls.sendAsync("POST", COMPLETIONS, chatBody(10_000), "X-Request-Id", "r3")
                    eventually(10.seconds) { engine.running shouldBe 1 }
                    calls.delete("/v1/streams/r3").statusCode() shouldBe 204
                    shouldThrowAny { answer.get(10, TimeUnit.SECONDS) }
                    engine.running shouldBe 0
                    engine.counts.cancelled shouldBe 1
                }
            }
        }

        describe("a cold engine") {
            val cold = ColdStart(startsCold = true, requests = 1, completions = 2, warmUpMilliseconds = 600_000)

            it("fails above its request limit and restarts with a new identity") {
                withEngine(EngineSettings(timing = slow, coldStart = cold)) { engine, calls ->
                    val before = engine.startIdentity
                    val first = calls.sendAsync("POST", COMPLETIONS, chatBody(10_000))
                    eventually(10.seconds) { engine.running shouldBe 1 }
                    calls.post(COMPLETIONS, chatBody(1)).statusCode() shouldBe 503
                    shouldThrowAny { first.get(10, TimeUnit.SECONDS) }
                    engine.startIdentity shouldNotBe before
                    engine.counts.coldOverloads shouldBe 1
                }
            }

            it("is warm after enough completions") {
                withEngine(EngineSettings(timing = fast, coldStart = cold)) { engine, calls ->
                    repeat(2) { calls.post(COMPLETIONS, chatBody(1)).statusCode() shouldBe 200 }
                    val answers = (1..4).map { calls.sendAsync("POST", COMPLETIONS, chatBody(30)) }
                    answers.forEach { it.get(20, TimeUnit.SECONDS).statusCode() shouldBe 200 }
                    engine.counts.coldOverloads shouldBe 0
                }
            }

            it("gets a new identity but keeps its streams when restarted cold without losing streams") {
                withEngine(EngineSettings(timing = slow, coldStart = cold.copy(startsCold = false))) { engine, calls ->
                    val before = engine.startIdentity
                    val answer = calls.sendAsync("POST", COMPLETIONS, chatBody(20))
                    eventually(10.seconds) { engine.running shouldBe 1 }
                    engine.restartCold()
                    answer.get(20, TimeUnit.SECONDS).statusCode() shouldBe 200
                    engine.startIdentity shouldNotBe before
                }
            }
        }

        describe("frozen connections") {
            it("stay open and silent while new ones work") {
                withEngine(EngineSettings(timing = slow)) { engine, calls ->
                    val answer = calls.sendAsync("POST", COMPLETIONS, chatBody(10), "X-Request-Id", "r4")
                    eventually(10.seconds) { engine.running shouldBe 1 }
                    engine.freezeConnections()
                    eventually(10.seconds) { engine.counts.completions shouldBe 1 }
                    runCatching { answer.get(300, TimeUnit.MILLISECONDS) }.exceptionOrNull().let {
                        (it is TimeoutException) shouldBe true
                    }
                    val fresh = calls.withNewConnections()
                    fresh.get("/v1/streams/r4/state").statusCode() shouldBe 200
                }
            }
        }

        describe("the load report") {
            it("omits requests that arrived within the configured lag") {
                withEngine(EngineSettings(timing = slow, loadLagMilliseconds = 600_000)) { engine, calls ->
                    calls.sendAsync("POST", COMPLETIONS, chatBody(1_000))
                    eventually(10.seconds) { engine.running shouldBe 1 }
                    calls.get("/load").body() shouldContain "\"running\":0"
                }
            }
        }

        describe("cache events") {
            it("omit every n-th change and include evictions") {
                val cache = PrefixCacheSettings(entries = 1, eventLagMilliseconds = 0, eventGapEvery = 2)
                withEngine(EngineSettings(timing = fast, prefixCache = cache)) { _, calls ->
                    repeat(3) { calls.post(COMPLETIONS, chatBody(1, prompt = "p$it")) }
                    val events = calls.get("/cache-events?after=0").body()
                    events shouldContain "\"sequence\":1,\"kind\":\"stored\""
                    events shouldContain "\"sequence\":3,\"kind\":\"removed\""
                    ("\"sequence\":2" in events) shouldBe false
                    events shouldContain "%016x".format(promptPrefixHash(listOf("p0")))
                }
            }

            it("are not published before the configured lag") {
                val cache = PrefixCacheSettings(eventLagMilliseconds = 600_000)
                withEngine(EngineSettings(prefixCache = cache)) { _, calls ->
                    calls.post(COMPLETIONS, chatBody(1))
                    calls.get("/cache-events?after=0").body() shouldBe """{"events":[],"latestSequence":0}"""
                }
            }
        }

        describe("a model order") {
            fun order(model: String, action: String, number: Int) =
                """{"model":"$model","action":"$action","fencingNumber":$number}"""

            it("with an old fencing number is rejected when the engine checks fencing") {
                withEngine { engine, calls ->
                    calls.post("/orders/models", order("audit", "load", 5)).statusCode() shouldBe 200
                    calls.post("/orders/models", order("audit", "unload", 4)).statusCode() shouldBe 409
                    calls.get("/v1/models").body() shouldContain "audit"
                    engine.orders.map { it.accepted } shouldBe listOf(true, false)
                }
            }

            it("with an old fencing number is accepted when the engine does not check fencing") {
                withEngine(EngineSettings(checksFencing = false)) { engine, calls ->
                    calls.post("/orders/models", order("audit", "load", 5)).statusCode() shouldBe 200
                    calls.post("/orders/models", order("audit", "unload", 4)).statusCode() shouldBe 200
                    engine.orders.map { it.model } shouldContain "audit"
                    engine.orders.map { it.accepted } shouldNotContain false
                }
            }
        }
    })
