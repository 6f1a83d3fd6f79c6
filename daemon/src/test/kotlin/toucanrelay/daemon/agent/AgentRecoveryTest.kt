package toucanrelay.daemon.agent

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.EngineTiming
import toucanrelay.standins.LinkSettings
import toucanrelay.standins.ModelEngine
import toucanrelay.standins.PlainService
import toucanrelay.wire.CancelRequest
import toucanrelay.wire.Executed
import toucanrelay.wire.ResumeRequest
import toucanrelay.wire.ServeEvent

private fun TestEntry.resumeRequest(
    id: String,
    agent: AgentFixture,
    offset: Long = 0,
    hasHead: Boolean = false,
) = ResumeRequest
    .newBuilder()
    .setRequestId(id)
    .setEntry(identity)
    .setAgent(agent.identity)
    .setOffset(offset)
    .setHasHead(hasHead)
    .build()

private suspend fun withEngine(
    settings: EngineSettings = EngineSettings(slots = 4, timing = EngineTiming(stepMilliseconds = 10.0)),
    resumeWindowMilliseconds: Long = 10_000,
    test: suspend (ModelEngine, AgentFixture, TestEntry) -> Unit,
) {
    val engine = ModelEngine(settings)
    val agent = AgentFixture(engine.start(), resumeWindowMilliseconds = resumeWindowMilliseconds).start()
    val entry = TestEntry(agent.identity)
    try {
        eventually("ready") {
            agent.stub
                .serve(entry.modelRequest("warm-up", 1))
                .collectAll()
                .last()
                .hasEnd()
        }
        test(engine, agent, entry)
    } finally {
        agent.stop()
        engine.stop()
    }
}

private suspend fun AgentFixture.completeAnswer(entry: TestEntry, id: String, tokens: Int): List<ServeEvent> =
    stub.serve(entry.modelRequest(id, tokens)).collectAll()

private val EVENT_ID = Regex("(?m)^id: (\\d+)$")

class AgentRecoveryTest :
    DescribeSpec({
        describe("an answer whose link broke") {
            it("is resumed from its offset without a lost or duplicated byte, and runs once") {
                withEngine { engine, agent, entry ->
                    val before =
                        agent.stub
                            .serve(entry.modelRequest("broken", 100))
                            .take(6)
                            .toList()
                    val offset = before.body().size.toLong()

                    val after =
                        agent.stub
                            .resume(
                                entry.resumeRequest("broken", agent, offset, hasHead = true),
                            ).collectAll()

                    after.any { it.hasHead() } shouldBe false
                    val joined = before.body() + after.body(from = offset)
                    after.last().end.bodyBytes shouldBe joined.size
                    engine.runs("broken") shouldBe 1
                    joined.decodeToString().endsWith("data: [DONE]\n\n") shouldBe true
                }
            }

            it("can be read again from any offset after it has ended") {
                withEngine { _, agent, entry ->
                    val complete = agent.completeAnswer(entry, "ended", 20).body()
                    listOf(0, 1, complete.size / 2, complete.size).forEach { offset ->
                        val request = entry.resumeRequest("ended", agent, offset.toLong(), hasHead = offset > 0)
                        agent.stub
                            .resume(request)
                            .collectAll()
                            .body(offset.toLong()) shouldBe
                            complete.copyOfRange(offset, complete.size)
                    }
                }
            }

            it("cannot be resumed by another entry") {
                withEngine { _, agent, entry ->
                    agent.completeAnswer(entry, "mine", 5)
                    val other = TestEntry(agent.identity, "entry-9")

                    val events = agent.stub.resume(other.resumeRequest("mine", agent)).collectAll()

                    events.single().failed.executed shouldBe Executed.EXECUTED_UNKNOWN
                }
            }

            it("is cancelled at the engine when no entry resumes it within the window") {
                withEngine(resumeWindowMilliseconds = 300) { engine, agent, entry ->
                    agent.stub
                        .serve(entry.modelRequest("left", 10_000))
                        .take(3)
                        .toList()

                    eventually("cancelled") { engine.counts.cancelled == 1L && engine.running == 0 }
                }
            }
        }

        describe("a request that never arrived") {
            it("is reported as not run, and does not run when it arrives late") {
                withEngine { engine, agent, entry ->
                    val answer = agent.stub.resume(entry.resumeRequest("late", agent)).collectAll()
                    val arrival = agent.completeAnswer(entry, "late", 5)

                    answer.single().hasRefused() shouldBe true
                    arrival.single().refused.reason shouldBe RefusalReason.DUPLICATE_REQUEST.name
                    engine.runs("late") shouldBe 0
                }
            }

            it("has an unknown outcome when it was sent to another run of the agent") {
                withEngine { _, agent, entry ->
                    val request = entry.resumeRequest("earlier", agent).toBuilder()
                    request.agentBuilder.incarnation = 6

                    val events = agent.stub.resume(request.build()).collectAll()

                    events.single().failed.executed shouldBe Executed.EXECUTED_UNKNOWN
                }
            }
        }

        describe("the connection to the engine") {
            it("is replaced when it goes silent, without a lost or duplicated byte") {
                withEngine { engine, agent, entry ->
                    coroutineScope {
                        val answer = async { agent.completeAnswer(entry, "frozen", 150) }
                        eventually("running") { engine.running == 1 }
                        engine.freezeConnections()

                        val events = answer.await()
                        events
                            .last()
                            .end.usage.generatedTokens shouldBe 150
                        events.sumOf { it.chunk.generatedTokens } shouldBe 150
                        EVENT_ID
                            .findAll(
                                events.body().decodeToString(),
                            ).map { it.groupValues[1].toInt() }
                            .toList() shouldBe
                            (1..152).toList()
                        agent.meters.counter("toucanrelay.agent.streams.resumed").count() shouldBe 1.0
                        engine.runs("frozen") shouldBe 1
                    }
                }
            }

            it("is kept when the engine is only slow") {
                val slow = EngineTiming(stepMilliseconds = 3_000.0)
                withEngine(EngineSettings(slots = 4, timing = slow)) { engine, agent, entry ->
                    val answer = agent.completeAnswer(entry, "slow", 2)

                    answer.last().hasEnd() shouldBe true
                    agent.meters.counter("toucanrelay.agent.streams.resumed").count() shouldBe 0.0
                    engine.runs("slow") shouldBe 1
                }
            }

            it("is given up with answer-lost when the engine has lost the stream") {
                withEngine { engine, agent, entry ->
                    coroutineScope {
                        val answer = async { agent.completeAnswer(entry, "lost", 5_000) }
                        eventually("running") { engine.running == 1 }
                        engine.restartCold(losesStreams = true)

                        answer
                            .await()
                            .last()
                            .failed.reason shouldBe RefusalReason.ANSWER_LOST.name
                    }
                }
            }
        }

        describe("a request that is cancelled or times out") {
            it("is cancelled at the engine and frees its slot when its entry cancels it") {
                withEngine { engine, agent, entry ->
                    coroutineScope {
                        val answer = async { agent.completeAnswer(entry, "unwanted", 10_000) }
                        eventually("running") { engine.running == 1 }

                        val cancel =
                            CancelRequest
                                .newBuilder()
                                .setRequestId(
                                    "unwanted",
                                ).setEntry(entry.identity)
                                .build()
                        agent.stub.cancel(cancel).found shouldBe true

                        answer
                            .await()
                            .last()
                            .failed.reason shouldBe RefusalReason.CALLER_GONE.name
                        eventually("cancelled") { engine.running == 0 }
                        agent.stub.cancel(cancel).found shouldBe false
                    }
                }
            }

            it("fails at its deadline and is cancelled at the engine") {
                withEngine { engine, agent, entry ->
                    val events =
                        agent.stub
                            .serve(
                                entry.modelRequest("dear", 10_000, deadlineMilliseconds = 300),
                            ).collectAll()

                    events.last().failed.reason shouldBe RefusalReason.DEADLINE_WHILE_RUNNING.name
                    eventually("cancelled") { engine.running == 0 }
                }
            }
        }

        describe("a slow entry") {
            it("slows the target down and receives every byte") {
                withEngine(EngineSettings(slots = 4, timing = EngineTiming(1.0, 0.0, 1.0, 0.0))) { _, agent, entry ->
                    val received = mutableListOf<ServeEvent>()
                    agent.stub.serve(entry.modelRequest("slow-reader", 3_000)).collect {
                        received += it
                        if (received.size % 200 == 0) delay(20)
                    }

                    received.last().end.bodyBytes shouldBe received.body().size
                }
            }
        }

        describe("a plain service") {
            it("that disconnects after it received a call leaves the outcome unknown, and the call runs once") {
                val service = PlainService()
                val agent = AgentFixture(service.start(), FakeFleet(bundleOf(pools = setOf(BALES)))).start()
                val entry = TestEntry(agent.identity)
                eventually("ready") {
                    agent.stub
                        .serve(entry.serviceRequest("warm-up", "GET", "/echo", ""))
                        .collectAll()
                        .last()
                        .hasEnd()
                }
                service.loseNextAnswers(1)

                val events = agent.stub.serve(entry.serviceRequest("release", "POST", "/releases", "{}")).collectAll()

                events.last().failed.executed shouldBe Executed.EXECUTED_UNKNOWN
                service.runsOfRequest("release") shouldBe 1
                agent.stop()
                service.stop()
            }

            it("that is unreachable does not run the call") {
                val service = PlainService()
                val link = CuttableLink(LinkSettings(service.start()))
                val agent = AgentFixture(link.start(), FakeFleet(bundleOf(pools = setOf(BALES)))).start()
                val entry = TestEntry(agent.identity)
                eventually("ready") {
                    agent.stub
                        .serve(entry.serviceRequest("warm-up", "GET", "/echo", ""))
                        .collectAll()
                        .last()
                        .hasEnd()
                }
                link.cut()

                val events = agent.stub.serve(entry.serviceRequest("release", "POST", "/releases", "{}")).collectAll()

                events.last().refused.reason shouldBe RefusalReason.TARGET_UNREACHABLE.name
                service.runsOfRequest("release") shouldBe 0
                agent.stop()
                link.stop()
                service.stop()
            }
        }
    })
