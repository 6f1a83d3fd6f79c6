package toucanrelay.daemon.agent

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.lease.FencingNumber
import toucanrelay.core.lease.LeaseRecord
import toucanrelay.core.lease.LeaseToken
import toucanrelay.daemon.agent.lease.toDocument
import toucanrelay.daemon.agent.lease.toLeaseRow
import toucanrelay.daemon.order.UnreliableTable
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.ModelEngine
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.WriteCondition
import kotlin.random.Random

private val AUDIT = Pool.ofModel("audit")
private val LEASE = RowKey("leases", "target-1")

private fun table(faultProbability: Double) =
    UnreliableTable(Random(5), CoroutineScope(Dispatchers.Default), faultProbability)

class AgentModelOrdersTest :
    DescribeSpec({
        val bundle = bundleOf(pools = setOf(ADVICE, AUDIT))

        describe("an agent whose target has not loaded a model") {
            it("orders it under a lease and then releases the lease") {
                val engine = ModelEngine(EngineSettings(models = listOf("advice"), checksFencing = true))
                val tables = table(faultProbability = 0.0)
                val agent = AgentFixture(engine.start(), FakeFleet(bundle), tables = tables).start()

                eventually("released") {
                    tables
                        .read(LEASE)
                        .get()
                        ?.toLeaseRow()
                        ?.record
                        ?.isReleased == true
                }
                engine.orders.map { it.model to it.fencingNumber }.distinct() shouldBe listOf("audit" to 1L)
                engine.orders.all { it.accepted } shouldBe true
                agent.stop()
                engine.stop()
            }

            it("uses a higher fencing number than the previous holder although answers are lost") {
                val engine = ModelEngine(EngineSettings(models = listOf("advice")))
                val tables = table(faultProbability = 0.0)
                val previousHolder = ProcessRun(InstanceId("agent-0"), Incarnation(3))
                val record = LeaseRecord(previousHolder, LeaseToken("t"), FencingNumber(8), 15_000, isReleased = true)
                tables.write(LEASE, record.toDocument().encode(), WriteCondition.Absent)
                tables.faultProbability = 0.3
                val agent = AgentFixture(engine.start(), FakeFleet(bundle), tables = tables).start()

                eventually("ordered") { engine.orders.isNotEmpty() }
                (engine.orders.first().fencingNumber > 8) shouldBe true
                agent.stop()
                engine.stop()
            }
        }

        describe("an agent whose target has loaded all models") {
            it("acquires no lease") {
                val engine = ModelEngine(EngineSettings(models = listOf("advice")))
                val tables = table(faultProbability = 0.0)
                val agent = AgentFixture(engine.start(), tables = tables).start()
                val entry = TestEntry(agent.identity)
                eventually("served") {
                    agent.stub
                        .serve(entry.modelRequest("a", 1))
                        .collectAll()
                        .last()
                        .hasEnd()
                }

                tables.read(LEASE).get() shouldBe null
                agent.stop()
                engine.stop()
            }
        }
    })
