package toucanrelay.daemon.agent

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.ModelEngine

/** Returns the answer of the engine to [body] without an agent in between. */
private suspend fun directAnswer(port: Int, body: String): ByteArray {
    val vertx = Vertx.vertx()
    val request = vertx.createHttpClient().request(HttpMethod.POST, port, "127.0.0.1", "/v1/chat/completions").coAwait()
    val answer =
        request
            .send(body)
            .compose { it.body() }
            .coAwait()
            .bytes
    vertx.close().coAwait()
    return answer
}

class AgentRoleTest :
    DescribeSpec({
        val engine = ModelEngine(EngineSettings(slots = 4))
        lateinit var agent: AgentFixture
        lateinit var entry: TestEntry
        var port = 0

        beforeSpec {
            port = engine.start()
            agent = AgentFixture(port).start()
            entry = TestEntry(agent.identity)
            eventually("ready") {
                agent.stub
                    .serve(entry.modelRequest("warm-up"))
                    .collectAll()
                    .last()
                    .hasEnd()
            }
        }
        afterSpec {
            agent.stop()
            engine.stop()
        }

        describe("an agent of a model engine") {
            listOf(true, false).forEach { streamed ->
                it("relays an answer byte for byte when streamed is $streamed") {
                    val events = agent.stub.serve(entry.modelRequest("same-$streamed", 20, streamed)).collectAll()

                    events.first().hasAdmitted() shouldBe true
                    events[1].head.status shouldBe 200
                    events.body() shouldBe directAnswer(port, chatBody("same-$streamed", 20, streamed))
                    events
                        .last()
                        .end.usage.generatedTokens shouldBe 20
                    events.last().end.bodyBytes shouldBe events.body().size
                }
            }

            it("counts the tokens of a streamed answer chunk by chunk") {
                val events = agent.stub.serve(entry.modelRequest("tokens", 20)).collectAll()

                events.filter { it.hasChunk() }.sumOf { it.chunk.generatedTokens } shouldBe 20
            }

            it("refuses a request addressed to another run of the agent") {
                val stale = entry.modelRequest("stale").toBuilder()
                stale.agentBuilder.incarnation = 6

                val events = agent.stub.serve(stale.build()).collectAll()

                events.single().refused.reason shouldBe RefusalReason.STALE_INCARNATION.name
                engine.runs("stale") shouldBe 0
            }

            it("refuses a request that it has accepted before") {
                agent.stub.serve(entry.modelRequest("twice")).collectAll()

                val events = agent.stub.serve(entry.modelRequest("twice")).collectAll()

                events.single().refused.reason shouldBe RefusalReason.DUPLICATE_REQUEST.name
                engine.runs("twice") shouldBe 1
            }

            it("refuses a model that is not loaded and a request whose deadline has passed") {
                val other = entry.modelRequest("other").toBuilder()
                other.modelBuilder.model = "unknown"
                val late = entry.modelRequest("late", deadlineMilliseconds = 0)

                agent.stub
                    .serve(other.build())
                    .collectAll()
                    .single()
                    .refused.reason shouldBe
                    RefusalReason.MODEL_NOT_LOADED.name
                agent.stub
                    .serve(late)
                    .collectAll()
                    .single()
                    .refused.reason shouldBe
                    RefusalReason.DEADLINE_BEFORE_START.name
            }

            it("never runs more requests than the target has slots") {
                val outcomes =
                    coroutineScope {
                        (1..40)
                            .map {
                                async {
                                    agent.stub
                                        .serve(
                                            entry.modelRequest("rush-$it", 30),
                                        ).collectAll()
                                        .last()
                                }
                            }.awaitAll()
                    }

                outcomes.count { it.hasEnd() } shouldBe runsOf(engine, "rush-", 40)
                outcomes.filter { it.hasRefused() }.map { it.refused.reason }.toSet() shouldBe
                    setOf(RefusalReason.TARGET_FULL.name)
                (engine.counts.peakRequests <= 4) shouldBe true
            }

            it("sends a new entry its identity, capacity and heartbeats") {
                coroutineScope {
                    val linked = TestEntry(agent.identity, "entry-2")
                    val link = linked.link(this, agent.stub)

                    eventually("capacity and two heartbeats") {
                        linked.capacity?.free == 4 && linked.received.count { it.hasHeartbeat() } >= 2
                    }
                    linked.received
                        .first()
                        .hello.agent shouldBe agent.identity
                    linked.capacity?.poolsList shouldBe listOf("advice")
                    link.cancel()
                }
            }

            it("grants slots on demand and accepts the granted requests") {
                coroutineScope {
                    val linked = TestEntry(agent.identity, "entry-3")
                    val link = linked.link(this, agent.stub)
                    linked.demand(organisationDemand("depot", waiting = 2))

                    eventually("two grants") { linked.grants.size >= 2 }
                    linked.demand()
                    linked.grants
                        .take(2)
                        .map { grant ->
                            async {
                                val request = linked.modelRequest("granted-${grant.grantId}", grantId = grant.grantId)
                                agent.stub
                                    .serve(request)
                                    .collectAll()
                                    .last()
                                    .hasEnd()
                            }
                        }.awaitAll() shouldBe listOf(true, true)
                    link.cancel()
                }
            }
        }
    })

private fun runsOf(engine: ModelEngine, prefix: String, count: Int): Int =
    (1..count).sumOf { engine.runs("$prefix$it") }
