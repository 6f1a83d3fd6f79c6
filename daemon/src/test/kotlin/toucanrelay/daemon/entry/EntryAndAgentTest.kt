package toucanrelay.daemon.entry

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import toucanrelay.core.liveness.HeartbeatSettings
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.EngineTiming
import toucanrelay.standins.LinkSettings
import toucanrelay.standins.ModelEngine
import toucanrelay.standins.PlainService
import kotlin.time.Duration.Companion.seconds

/** Silence is found sooner than by default, yet after two of the agent's heartbeats. */
private val quickHeartbeats =
    EntryTerms(
        announceMilliseconds = 0,
        heartbeat = HeartbeatSettings(intervalMilliseconds = 200, silenceMilliseconds = 2_200),
    )
private val timing =
    EngineTiming(stepMilliseconds = 10.0, stepMillisecondsPerRequest = 0.0, firstTokenMilliseconds = 1.0)

/** One engine, its agent and the link that an entry uses to reach the agent. */
private class EngineBehindLink(
    val engine: ModelEngine,
    val enginePort: Int,
    val agent: RealAgent,
    val link: CuttableLink,
    val entry: RunningEntry,
) {
    suspend fun straight(body: String): String = CallerCalls(enginePort).post("/v1/chat/completions", body).body()

    suspend fun running() = eventually(20.seconds) { engine.running shouldBe 1 }
}

private suspend fun withEngine(terms: EntryTerms = quickHeartbeats, test: suspend (EngineBehindLink) -> Unit) {
    TestFleet(bundleOf(mapOf("t1" to advice))).use { fleet ->
        val engine = ModelEngine(EngineSettings(slots = 4, timing = timing), fleet.vertx)
        val enginePort = engine.start()
        val agent = RealAgent(fleet, "t1", enginePort).start()
        val link = CuttableLink(LinkSettings(agent.port), fleet.vertx)
        fleet.link(agentRecord("t1", link.start()))
        fleet.withEntry(terms) { entry ->
            eventually(20.seconds) { entry.calls.chat(tokens = 1).statusCode() shouldBe 200 }
            test(EngineBehindLink(engine, enginePort, agent, link, entry))
        }
        agent.crash()
    }
}

private suspend fun withService(
    terms: EntryTerms = quickHeartbeats,
    test: suspend (PlainService, CuttableLink, RunningEntry) -> Unit,
) {
    TestFleet(bundleOf(mapOf("s1" to bookings))).use { fleet ->
        val service = PlainService(vertx = fleet.vertx)
        val agent = RealAgent(fleet, "s1", service.start()).start()
        val link = CuttableLink(LinkSettings(agent.port), fleet.vertx)
        fleet.link(agentRecord("s1", link.start()))
        fleet.withEntry(terms) { entry ->
            eventually(20.seconds) { entry.calls.get("/services/bookings/echo").statusCode() shouldBe 200 }
            test(service, link, entry)
        }
        agent.crash()
    }
}

class EntryAndAgentTest :
    DescribeSpec({
        describe("an answer through entry and agent") {
            listOf(false, true).forEach { isStreamed ->
                it("is the engine's byte for byte, streamed: $isStreamed") {
                    withEngine { fleet ->
                        val body = chatBody(isStreamed, tokens = 30, prompt = "bale 7")
                        fleet.entry.calls
                            .post("/v1/chat/completions", body)
                            .body() shouldBe fleet.straight(body)
                    }
                }
            }

            it("is each caller's own when many run at once") {
                withEngine { fleet ->
                    val bodies = (1..24).map { chatBody(it % 2 == 0, tokens = 10 + it, prompt = "batch $it") }
                    val answers =
                        coroutineScope {
                            bodies
                                .map {
                                    async {
                                        fleet.entry.calls
                                            .post(
                                                "/v1/chat/completions",
                                                it,
                                            ).body()
                                    }
                                }.awaitAll()
                        }
                    answers shouldContainExactly bodies.map { fleet.straight(it) }
                }
            }
        }

        describe("a stream whose link is lost") {
            val body = chatBody(stream = true, tokens = 150, prompt = "audit")

            it("is whole after the connections were cut") {
                withEngine { fleet ->
                    val answer = fleet.entry.calls.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    fleet.running()
                    fleet.link.breakConnections()

                    answer.await().body() shouldBe fleet.straight(body)
                    fleet.engine.runs(answer.await().requestId) shouldBe 1
                    fleet.entry.count("toucanrelay.retries", "reason", "answer-resumed") shouldBeGreaterThanOrEqual 1.0
                }
            }

            it("is whole after the connection went silent for good") {
                withEngine { fleet ->
                    val answer = fleet.entry.calls.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    fleet.running()
                    fleet.link.silence()

                    answer.await().body() shouldBe fleet.straight(body)
                }
            }

            it("ends truthfully when the agent restarted") {
                withEngine { fleet ->
                    val answer = fleet.entry.calls.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    fleet.running()
                    eventually(20.seconds) { fleet.engine.running shouldBe 1 }
                    val port = fleet.agent.port
                    fleet.agent.crash()
                    fleet.agent.start(port, incarnation = 2)

                    val text = answer.await().body()
                    val straight = fleet.straight(body)
                    if (text != straight) {
                        text shouldNotContain "[DONE]"
                        text shouldContain "event: error"
                        text shouldContain "\"executed\":\"unknown\""
                        straight shouldContain text.substringBefore("event: error")
                    }
                }
            }
        }

        describe("an order with an idempotency key") {
            val key = mapOf("Idempotency-Key" to "drop-1")

            it("runs once and gives its first outcome to every repetition") {
                withService { service, _, entry ->
                    val first = entry.calls.post("/services/bookings/drops", """{"tins":2}""", headers = key)
                    val second = entry.calls.post("/services/bookings/drops", """{"tins":2}""", headers = key)

                    first.statusCode() shouldBe 200
                    second.body() shouldBe first.body()
                    service.runsOfOrder("drop-1") shouldBe 1
                }
            }

            it("is refused for another body") {
                withService { service, _, entry ->
                    entry.calls.post("/services/bookings/drops", """{"tins":2}""", headers = key)
                    entry.calls.post("/services/bookings/drops", """{"tins":3}""", headers = key).problem shouldBe
                        "idempotency-key-reused"
                    service.runsOfOrder("drop-1") shouldBe 1
                }
            }

            it("does not run a second time when its answer is lost") {
                withService { service, _, entry ->
                    service.loseNextAnswers(1)
                    val first = entry.calls.post("/services/bookings/drops", "{}", headers = key)
                    first.executed shouldBe "unknown"
                    eventually(10.seconds) {
                        val second = entry.calls.post("/services/bookings/drops", "{}", headers = key)
                        second.problem shouldBe "order-outcome-unknown"
                        second.executed shouldBe "unknown"
                    }
                    service.runsOfOrder("drop-1") shouldBe 1
                }
            }
        }

        describe("an order without a key") {
            it("runs at most once while its link breaks again and again") {
                withService { service, link, entry ->
                    service.delayMilliseconds = 50
                    coroutineScope {
                        val cutting =
                            launch {
                                repeat(5) {
                                    kotlinx.coroutines.delay(40)
                                    link.breakConnections()
                                }
                            }
                        val answers =
                            (1..20).map { async { entry.calls.post("/services/bookings/drops/$it", "{}") } }.awaitAll()
                        cutting.join()
                        val refused = answers.filter { it.executed == "no" }
                        val ordersBefore = 1
                        service.repeatedRequests shouldBe emptyMap()
                        service.totalRuns shouldBeLessThanOrEqual 20 - refused.size + ordersBefore
                        answers.forEach { it.statusCode() shouldBeIn listOf(200, 502, 503) }
                    }
                }
            }
        }

        describe("a shutdown") {
            it("ends after the requests in hand, with their whole answers") {
                withEngine { fleet ->
                    val body = chatBody(stream = true, tokens = 60, prompt = "last")
                    val answer = fleet.entry.calls.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    fleet.running()
                    fleet.entry.role.drain(20_000) shouldBe 0
                    fleet.entry.role.isReady() shouldBe false

                    answer.await().body() shouldBe fleet.straight(body)
                    val late = fleet.entry.calls.chat()
                    late.problem shouldBe "shutting-down"
                    late.executed shouldBe "no"
                }
            }

            it("says truthfully what it cut at its limit") {
                withEngine { fleet ->
                    val body = chatBody(stream = false, tokens = 2_000, prompt = "long")
                    val answer = fleet.entry.calls.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    fleet.running()
                    fleet.entry.role.drain(1_000) shouldBe 1

                    answer.await().problem shouldBe "cut-by-shutdown"
                    answer.await().executed shouldBe "unknown"
                }
            }
        }

        describe("a caller that leaves") {
            it("frees the engine's slot") {
                withEngine { fleet ->
                    val body = chatBody(stream = true, tokens = 3_000, prompt = "gone")
                    val socket = java.net.Socket("127.0.0.1", fleet.entry.calls.port)
                    socket.getOutputStream().write(rawPost(body).toByteArray())
                    fleet.running()
                    socket.close()
                    eventually(20.seconds) { fleet.engine.running shouldBe 0 }
                    fleet.entry.count("toucanrelay.refusals", "reason", "caller-gone") shouldBe 1.0
                }
            }
        }
    })
