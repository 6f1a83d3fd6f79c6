package toucanrelay.daemon.agent

import io.grpc.StatusException
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.EngineTiming
import toucanrelay.standins.ModelEngine
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceRole
import toucanrelay.store.instances.InstanceState
import toucanrelay.wire.ServeEvent

/** A saturated agent: two requests are running and one is staged. */
private class SaturatedAgent(
    val engine: ModelEngine,
    val agent: AgentFixture,
    val entry: TestEntry,
    val running: List<Deferred<List<ServeEvent>>>,
    val staged: Deferred<List<ServeEvent>>,
)

private suspend fun withSaturatedAgent(tokens: Int = 100, test: suspend (SaturatedAgent) -> Unit) {
    val engine = ModelEngine(EngineSettings(slots = 2, timing = EngineTiming(stepMilliseconds = 10.0)))
    val agent = AgentFixture(engine.start(), FakeFleet(bundleOf(slots = 2, coldSlots = 2))).start()
    val entry = TestEntry(agent.identity)
    try {
        coroutineScope {
            val link = entry.link(this, agent.stub)
            eventually("free slots") { entry.capacity?.free == 2 }
            val running = (1..2).map { async { agent.stub.serve(entry.modelRequest("run-$it", tokens)).collectAll() } }
            eventually("both run") { engine.running == 2 }
            entry.demand(organisationDemand("depot", waiting = 1))
            eventually("a grant") { entry.grants.isNotEmpty() }
            entry.demand()
            val grant = entry.grants.first().grantId
            val staged = async { agent.stub.serve(entry.modelRequest("staged", tokens, grantId = grant)).collectAll() }
            eventually("staged") {
                agent.meters
                    .get("toucanrelay.agent.staged")
                    .gauge()
                    .value() == 1.0
            }
            test(SaturatedAgent(engine, agent, entry, running, staged))
            link.cancel()
        }
    } finally {
        agent.stop()
        engine.stop()
    }
}

private fun agentRecord(agent: AgentFixture, state: InstanceState) =
    InstanceRecord(
        agent.run.instance,
        InstanceRole.AGENT,
        state,
        RegionId("uusimaa"),
        FailureDomainId("uusimaa-1"),
        target = null,
        host = "127.0.0.1",
        port = 1,
    )

class AgentServiceStateTest :
    DescribeSpec({
        data class Case(
            val name: String,
            val reason: RefusalReason,
            val trigger: (SaturatedAgent) -> Unit,
        )

        describe("a target that goes out of service with running and staged requests") {
            listOf(
                Case("its failure domain is taken out of service", RefusalReason.FAILURE_DOMAIN_OUT) {
                    it.agent.fleet.current.value = bundleOf(version = 2, slots = 2, coldSlots = 2, inService = false)
                },
                Case("the platform's list marks the instance as leaving", RefusalReason.TARGET_LEAVING) {
                    it.agent.fleet.instances.value = persistentListOf(agentRecord(it.agent, InstanceState.LEAVING))
                },
            ).forEach { case ->
                it("finishes running requests and refuses staged and new ones when ${case.name}") {
                    withSaturatedAgent { target ->
                        case.trigger(target)

                        target.staged
                            .await()
                            .last()
                            .refused.reason shouldBe case.reason.name
                        eventually("announced") { target.entry.capacity?.draining == true }
                        target.agent.stub
                            .serve(
                                target.entry.modelRequest("new"),
                            ).collectAll()
                            .single()
                            .refused.reason shouldBe
                            case.reason.name
                        target.running.awaitAll().all { it.last().hasEnd() } shouldBe true
                        target.engine.runs("staged") + target.engine.runs("new") shouldBe 0
                    }
                }
            }

            it("accepts requests again when the failure domain is back in service") {
                withSaturatedAgent { target ->
                    target.agent.fleet.current.value =
                        bundleOf(version = 2, slots = 2, coldSlots = 1, inService = false)
                    target.running.awaitAll()
                    target.agent.fleet.current.value = bundleOf(version = 3, slots = 2, coldSlots = 1)

                    eventually("the cold limit of one slot") { target.entry.capacity?.limit == 1 }
                    eventually("served") {
                        target.agent.stub
                            .serve(target.entry.modelRequest("again", 2))
                            .collectAll()
                            .last()
                            .hasEnd()
                    }
                }
            }
        }

        describe("an agent that shuts down") {
            it("aborts nothing when its requests finish within the time limit") {
                withSaturatedAgent { target ->
                    target.agent.role.drain(limitMilliseconds = TEST_TIMEOUT_MILLISECONDS) shouldBe 0

                    target.agent.role.isReady() shouldBe false
                    target.staged
                        .await()
                        .last()
                        .refused.reason shouldBe RefusalReason.TARGET_LEAVING.name
                    target.running.awaitAll().all { it.last().hasEnd() } shouldBe true
                }
            }

            it("aborts running requests at the time limit and returns their number") {
                withSaturatedAgent(tokens = 10_000) { target ->
                    target.agent.role.drain(limitMilliseconds = 100) shouldBe 2

                    target.running
                        .awaitAll()
                        .map { it.last().failed.reason }
                        .toSet() shouldBe
                        setOf(RefusalReason.CUT_BY_SHUTDOWN.name)
                }
            }
        }

        describe("a link") {
            it("is closed when its entry goes silent") {
                val engine = ModelEngine()
                val agent = AgentFixture(engine.start()).start()
                val silent = TestEntry(agent.identity)

                shouldThrow<StatusException> {
                    coroutineScope {
                        silent.link(this, agent.stub, sendsHeartbeats = false)
                    }
                }

                agent.meters.counter("toucanrelay.agent.links.silent").count() shouldBe 1.0
                agent.stop()
                engine.stop()
            }

            it("carries a heartbeat with the new version when the bundle changes") {
                val engine = ModelEngine()
                val agent = AgentFixture(engine.start()).start()
                val entry = TestEntry(agent.identity)
                coroutineScope {
                    val link = entry.link(this, agent.stub)
                    eventually("linked") { entry.received.any { it.hasHeartbeat() } }
                    agent.fleet.current.value = bundleOf(version = 9)

                    eventually("version 9") { entry.received.any { it.heartbeat.bundleVersion == 9L } }
                    link.cancel()
                }
                agent.stop()
                engine.stop()
            }
        }
    })
