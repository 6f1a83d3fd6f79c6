package toucanrelay.daemon.fleet

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.Clock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.standins.CuttableLink
import toucanrelay.store.instances.InstanceState
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

class FleetNodeTest :
    DescribeSpec({
        val depot = OrganisationId("depot")
        val van = OrganisationId("van")
        val timeout = 60.seconds
        lateinit var fleet: FleetFixture

        beforeTest { if (it.type.name == "Test") fleet = FleetFixture() }
        afterTest { (case, _) -> if (case.type.name == "Test") fleet.stop() }

        fun RunningEntry.links() = meters.get("toucanrelay.fleet.exchange.links").gauge().value()

        fun RunningEntry.version() =
            node.bundles
                .inForce()
                ?.version
                ?.value

        describe("a bundle") {
            it("comes into force from the table service") {
                fleet.rollOut(3)
                val entry = fleet.startEntry("entry-a")

                eventually(timeout) { entry.version() shouldBe 3 }
            }

            it("reaches an entry that cannot read the table service, first whole and then as a patch") {
                fleet.rollOut(3)
                val reader = fleet.startEntry("entry-a")
                val other = fleet.startEntry("entry-b")
                eventually(timeout) { other.node.directory.instances.value.size shouldBe 2 }
                other.platform.isDown = true
                eventually(timeout) { other.version() shouldBe 3 }

                fleet.rollOut(4, sampleDocument(depotShare = 2.0))

                eventually(timeout) {
                    reader.version() shouldBe 4
                    other.version() shouldBe 4
                }
            }
        }

        describe("a process that starts without state while the table service is down") {
            it("receives the bundle and the totals from its neighbours") {
                fleet.rollOut(3)
                val entries = listOf("entry-a", "entry-b", "entry-c").map { fleet.startEntry(it) }
                eventually(timeout) { entries.forEach { it.version() shouldBe 3 } }
                entries
                    .last()
                    .node.ledger
                    .charge(depot, 400.0)
                eventually(timeout) { entries.forEach { it.node.ledger.virtualTime(depot) shouldBe 100.0 } }
                entries.forEach { it.platform.isTableDown = true }

                val restarted = fleet.restart(entries.last(), isTableDown = true)

                eventually(timeout) { restarted.version() shouldBe 3 }
                restarted.node.ledger.virtualTime(depot) shouldBe 100.0
            }
        }

        describe("a process that was paused") {
            it("has no bundle in force until a neighbour confirms one, then the latest") {
                val clock = SkippingClock()
                fleet.rollOut(3)
                val reader = fleet.startEntry("entry-a")
                val paused = fleet.startEntry("entry-b", clock = clock)
                eventually(timeout) { paused.version() shouldBe 3 }
                paused.platform.isTableDown = true
                fleet.rollOut(4)
                eventually(timeout) { reader.version() shouldBe 4 }

                clock.skip(60_000)

                paused.version() shouldBe null
                eventually(timeout) { paused.version() shouldBe 4 }
            }
        }

        describe("an instance that is listed as leaving") {
            it("is marked as leaving on all entries, including one that cannot read the list") {
                fleet.rollOut(1)
                fleet.listAgent("agent-1", target = "model-1")
                val entries = listOf("entry-a", "entry-b").map { fleet.startEntry(it) }
                eventually(timeout) {
                    entries.forEach {
                        it.node.directory.linkedAgents.value
                            .map { agent -> agent.instance } shouldContainExactly
                            listOf(InstanceId("agent-1"))
                    }
                    entries.forEach { it.node.directory.instances.value.size shouldBe 3 }
                }
                entries.last().platform.isDown = true

                fleet.listAgent("agent-1", target = "model-1", state = InstanceState.LEAVING)

                eventually(timeout) {
                    entries.forEach {
                        it.node.directory.linkedAgents.value
                            .single()
                            .state shouldBe InstanceState.LEAVING
                    }
                }
            }
        }

        describe("regions after a partition") {
            data class Cut(
                val description: String,
                val apply: suspend (CuttableLink) -> Unit,
            )

            listOf(
                Cut("refused connections") { it.cut() },
                Cut("silent connections") { it.silenceAll() },
            ).forEach { cut ->
                it("agree on the virtual time of an organisation again after ${cut.description}") {
                    fleet.rollOut(1)
                    val east = fleet.startEntry("entry-east", region = "east", isPlatformDown = true)
                    val west = fleet.startEntry("entry-west", region = "west", isPlatformDown = true)
                    val links = listOf(fleet.linkRegions("east", to = west), fleet.linkRegions("west", to = east))
                    val both = listOf(east, west)
                    both.forEach { it.platform.isDown = false }
                    eventually(timeout) { both.forEach { it.links() shouldBe 1.0 } }
                    links.forEach { cut.apply(it) }
                    eventually(timeout) { both.forEach { it.links() shouldBe 0.0 } }
                    east.node.ledger.charge(van, 50.0)
                    west.node.ledger.charge(van, 30.0)

                    links.forEach { it.restore() }

                    eventually(timeout) { both.forEach { it.node.ledger.virtualTime(van) shouldBe 50.0 } }
                }
            }
        }

        describe("service") {
            it("charged at one entry counts at all entries, divided by the share") {
                fleet.rollOut(1)
                val entries = listOf("east", "west", "north").map { fleet.startEntry("entry-$it", region = it) }
                eventually(timeout) { entries.forEach { it.version() shouldBe 1 } }

                entries[0].node.ledger.charge(depot, 400.0)
                entries[1].node.ledger.charge(depot, 40.0)
                entries[2].node.ledger.charge(van, 7.0)

                eventually(timeout) {
                    entries.forEach {
                        it.node.ledger.virtualTime(depot) shouldBe 110.0
                        it.node.ledger.virtualTime(van) shouldBe 7.0
                    }
                }
            }
        }
    })

/** A clock that can skip time, as observed by a process that was paused. */
private class SkippingClock : Clock {
    private val skipped = AtomicLong()

    override fun nowMilliseconds(): Long = MonotonicClock.nowMilliseconds() + skipped.get()

    fun skip(milliseconds: Long) {
        skipped.addAndGet(milliseconds)
    }
}
