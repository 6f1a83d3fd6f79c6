package toucanrelay.daemon.fleet

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.ManualClock
import toucanrelay.platform.instances.InstanceState
import kotlin.time.Duration.Companion.seconds

class FleetNodeTest :
    DescribeSpec({
        val depot = OrganisationId("depot")
        val van = OrganisationId("van")
        val limit = 60.seconds
        lateinit var fleet: FleetFixture

        beforeTest { if (it.type.name == "Test") fleet = FleetFixture() }
        afterTest { (case, _) -> if (case.type.name == "Test") fleet.stop() }

        fun RunningEntry.version() =
            node.bundles
                .inForce()
                ?.version
                ?.value

        describe("a bundle") {
            it("comes into force from the table service") {
                fleet.rollOut(3)
                val entry = fleet.startEntry("entry-a")

                eventually(limit) { entry.version() shouldBe 3 }
            }

            it("reaches an entry that cannot read the table service, as a whole and as a patch") {
                fleet.rollOut(3)
                val reader = fleet.startEntry("entry-a")
                val other = fleet.startEntry("entry-b")
                eventually(limit) { other.node.directory.instances.value.size shouldBe 2 }
                other.platform.isDown = true
                eventually(limit) { other.version() shouldBe 3 }

                fleet.rollOut(4, sampleDocument(depotShare = 2.0))

                eventually(limit) {
                    reader.version() shouldBe 4
                    other.version() shouldBe 4
                }
            }
        }

        describe("service") {
            it("that was charged at one entry counts at all, divided by the share") {
                fleet.rollOut(1)
                val entries = listOf("east", "west", "north").map { fleet.startEntry("entry-$it", region = it) }
                eventually(limit) { entries.forEach { it.version() shouldBe 1 } }

                entries[0].node.ledger.charge(depot, 400.0)
                entries[1].node.ledger.charge(depot, 40.0)
                entries[2].node.ledger.charge(van, 7.0)

                eventually(limit) {
                    entries.forEach {
                        it.node.ledger.virtualTime(depot) shouldBe (110.0 plusOrMinus 1e-6)
                        it.node.ledger.virtualTime(van) shouldBe (7.0 plusOrMinus 1e-6)
                    }
                }
            }
        }
    })
