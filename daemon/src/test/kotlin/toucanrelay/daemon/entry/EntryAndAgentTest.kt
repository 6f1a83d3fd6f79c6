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

/** Detects silent links sooner than by default, but only after two heartbeat intervals of the agent. */
private val shortHeartbeats =
    EntryTuning(
        notReadyNoticeMilliseconds = 0,
        heartbeat = HeartbeatSettings(intervalMilliseconds = 200, silenceMilliseconds = 2_200),
    )
private val timing =
    EngineTiming(stepMilliseconds = 10.0, stepMillisecondsPerRequest = 0.0, firstTokenMilliseconds = 1.0)

/** An engine, its agent, and the link over which an entry reaches the agent. */
private class EngineBehindLink(
    val engine: ModelEngine,
    val enginePort: Int,
    val agent: RealAgent,
    val link: CuttableLink,
    val entry: RunningEntry,
) {
    suspend fun callDirectly(body: String): String = CallerClient(enginePort).post("/v1/chat/completions", body).body()

    suspend fun awaitRunning() = eventually(20.seconds) { engine.running shouldBe 1 }
}

private suspend fun withEngine(tuning: EntryTuning = shortHeartbeats, test: suspend (EngineBehindLink) -> Unit) {
    TestFleet(bundleOf(mapOf("t1" to advice))).use { fleet ->
        val engine = ModelEngine(EngineSettings(slots = 4, timing = timing), fleet.vertx)
        val enginePort = engine.start()
        val agent = RealAgent(fleet, "t1", enginePort).start()
        val link = CuttableLink(LinkSettings(agent.port), fleet.vertx)
        fleet.link(agentRecord("t1", link.start()))
        fleet.withEntry(tuning) { entry ->
            eventually(20.seconds) { entry.caller.chat(tokens = 1).statusCode() shouldBe 200 }
            test(EngineBehindLink(engine, enginePort, agent, link, entry))
        }
        agent.crash()
    }
}

private suspend fun withService(
    tuning: EntryTuning = shortHeartbeats,
    test: suspend (PlainService, CuttableLink, RunningEntry) -> Unit,
) {
    TestFleet(bundleOf(mapOf("s1" to bookings))).use { fleet ->
        val service = PlainService(vertx = fleet.vertx)
        val agent = RealAgent(fleet, "s1", service.start()).start()
        val link = CuttableLink(LinkSettings(agent.port), fleet.vertx)
        fleet.link(agentRecord("s1", link.start()))
        fleet.withEntry(tuning) { entry ->
            eventually(20.seconds) { entry.caller.get("/services/bookings/echo").statusCode() shouldBe 200 }
            test(service, link, entry)
        }
        agent.crash()
    }
}

class EntryAndAgentTest :
    DescribeSpec({
        describe("an answer relayed by entry and agent") {
            listOf(false, true).forEach { isStreamed ->
                it("equals the engine's answer, streamed: $isStreamed") {
                    withEngine { setup ->
                        val body = chatBody(isStreamed, tokens = 30, prompt = "bale 7")
                        setup.entry.caller
                            .post("/v1/chat/completions", body)
                            .body() shouldBe setup.callDirectly(body)
                    }
                }
            }

            it("reaches the right caller when many requests run concurrently") {
                withEngine { setup ->
                    val bodies = (1..24).map { chatBody(it % 2 == 0, tokens = 10 + it, prompt = "batch $it") }
                    val answers =
                        coroutineScope {
                            bodies
                                .map {
                                    async {
                                        setup.entry.caller
                                            .post(
                                                "/v1/chat/completions",
                                                it,
                                            ).body()
                                    }
                                }.awaitAll()
                        }
                    answers shouldContainExactly bodies.map { setup.callDirectly(it) }
                }
            }
        }

        describe("a stream whose link fails") {
            val body = chatBody(stream = true, tokens = 150, prompt = "audit")

            it("is complete after its connections were closed") {
                withEngine { setup ->
                    val answer = setup.entry.caller.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    setup.awaitRunning()
                    setup.link.breakConnections()

                    answer.await().body() shouldBe setup.callDirectly(body)
                    setup.engine.runs(answer.await().requestId) shouldBe 1
                    setup.entry.count("toucanrelay.retries", "reason", "answer-resumed") shouldBeGreaterThanOrEqual 1.0
                }
            }

            it("is complete after its connection went silent permanently") {
                withEngine { setup ->
                    val answer = setup.entry.caller.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    setup.awaitRunning()
                    setup.link.silence()

                    answer.await().body() shouldBe setup.callDirectly(body)
                }
            }

            it("is complete or ends with an error event of unknown outcome after the agent restarted") {
                withEngine { setup ->
                    val answer = setup.entry.caller.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    setup.awaitRunning()
                    eventually(20.seconds) { setup.engine.running shouldBe 1 }
                    val port = setup.agent.port
                    setup.agent.crash()
                    setup.agent.start(port, incarnation = 2)

                    val text = answer.await().body()
                    val direct = setup.callDirectly(body)
                    if (text != direct) {
                        text shouldNotContain "[DONE]"
                        text shouldContain "event: error"
                        text shouldContain "\"executed\":\"unknown\""
                        direct shouldContain text.substringBefore("event: error")
                    }
                }
            }
        }

        describe("an order with an idempotency key") {
            val key = mapOf("Idempotency-Key" to "drop-1")

            it("runs once and returns its first answer to repeated calls") {
                withService { service, _, entry ->
                    val first = entry.caller.post("/services/bookings/drops", """{"tins":2}""", headers = key)
                    val second = entry.caller.post("/services/bookings/drops", """{"tins":2}""", headers = key)

                    first.statusCode() shouldBe 200
                    second.body() shouldBe first.body()
                    service.runsOfOrder("drop-1") shouldBe 1
                }
            }

            it("is refused when the key is reused with another body") {
                withService { service, _, entry ->
                    entry.caller.post("/services/bookings/drops", """{"tins":2}""", headers = key)
                    entry.caller.post("/services/bookings/drops", """{"tins":3}""", headers = key).problem shouldBe
                        "idempotency-key-reused"
                    service.runsOfOrder("drop-1") shouldBe 1
                }
            }

            it("does not run again when its answer is lost") {
                withService { service, _, entry ->
                    service.loseNextAnswers(1)
                    val first = entry.caller.post("/services/bookings/drops", "{}", headers = key)
                    first.executed shouldBe "unknown"
                    eventually(10.seconds) {
                        val second = entry.caller.post("/services/bookings/drops", "{}", headers = key)
                        second.problem shouldBe "order-outcome-unknown"
                        second.executed shouldBe "unknown"
                    }
                    service.runsOfOrder("drop-1") shouldBe 1
                }
            }
        }

        describe("an order without a key") {
            it("runs at most once when its link breaks repeatedly") {
                withService { service, link, entry ->
                    service.delayMilliseconds = 50
                    coroutineScope {
                        val breakingLinks =
                            launch {
                                repeat(5) {
                                    kotlinx.coroutines.delay(40)
                                    link.breakConnections()
                                }
                            }
                        val answers =
                            (1..20).map { async { entry.caller.post("/services/bookings/drops/$it", "{}") } }.awaitAll()
                        breakingLinks.join()
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
            it("completes after the active requests have their whole answers") {
                withEngine { setup ->
                    val body = chatBody(stream = true, tokens = 60, prompt = "last")
                    val answer = setup.entry.caller.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    setup.awaitRunning()
                    setup.entry.role.drain(20_000) shouldBe 0
                    setup.entry.role.isReady() shouldBe false

                    answer.await().body() shouldBe setup.callDirectly(body)
                    val late = setup.entry.caller.chat()
                    late.problem shouldBe "shutting-down"
                    late.executed shouldBe "no"
                }
            }

            it("reports the outcome of requests cancelled at its limit as unknown") {
                withEngine { setup ->
                    val body = chatBody(stream = false, tokens = 2_000, prompt = "long")
                    val answer = setup.entry.caller.send("POST", "/v1/chat/completions", body, KEY_OF_MILL, emptyMap())
                    setup.awaitRunning()
                    setup.entry.role.drain(1_000) shouldBe 1

                    answer.await().problem shouldBe "cut-by-shutdown"
                    answer.await().executed shouldBe "unknown"
                }
            }
        }

        describe("a caller that disconnects") {
            it("frees the engine's slot") {
                withEngine { setup ->
                    val body = chatBody(stream = true, tokens = 3_000, prompt = "gone")
                    val socket = java.net.Socket("127.0.0.1", setup.entry.caller.port)
                    socket.getOutputStream().write(rawPost(body).toByteArray())
                    setup.awaitRunning()
                    socket.close()
                    eventually(20.seconds) { setup.engine.running shouldBe 0 }
                    setup.entry.count("toucanrelay.refusals", "reason", "caller-gone") shouldBe 1.0
                }
            }
        }
    })
