package toucanrelay.core.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.identity.TargetId
import toucanrelay.core.stream.ServiceVersion
import toucanrelay.core.time.ManualClock

private const val GRACE_MILLISECONDS = 2_200L
private val ID = TargetId("a")

private fun registration(incarnation: Long = 1, isLeaving: Boolean = false, id: TargetId = ID) =
    TargetRegistration(
        id = id,
        service = "service",
        address = TargetAddress("host", 1),
        failureDomain = FailureDomainId("domain"),
        incarnation = Incarnation(incarnation),
        slots = 1,
        isLeaving = isLeaving,
        coldMilliseconds = 0,
    )

class TargetRegistryTest :
    DescribeSpec({
        fun newRegistry(clock: ManualClock = ManualClock()) = TargetRegistry(clock, GRACE_MILLISECONDS)

        fun TargetRegistry.serving() = serving("service", emptySet()).map { it.registration.id }

        describe("a leaving target") {
            it("remains leaving if an older registration arrives late") {
                val registry = newRegistry()
                registry.register(registration(isLeaving = true))
                registry.register(registration(isLeaving = false))
                registry.serving().shouldBeEmpty()
            }

            it("serves again after a restart under the same id") {
                val registry = newRegistry()
                registry.register(registration(isLeaving = true))
                registry.register(registration(incarnation = 2))
                registry.serving().shouldContainExactly(ID)
            }

            it("is not restored by a registration of an earlier run") {
                val registry = newRegistry()
                registry.register(registration(incarnation = 2, isLeaving = true))
                registry.register(registration(incarnation = 1))
                registry.serving().shouldBeEmpty()
            }

            it("receives no requests once its registration is removed") {
                val registry = newRegistry()
                registry.register(registration())
                registry.remove(ID)
                registry.serving().shouldBeEmpty()
            }
        }

        describe("a run of a target that says itself that it is leaving") {
            it("receives no more requests, and is reported once") {
                val registry = newRegistry()
                registry.register(registration())
                registry.markLeaving(ID, Incarnation(1)) shouldBe true
                registry.markLeaving(ID, Incarnation(1)) shouldBe false
                registry.register(registration())
                registry.serving().shouldBeEmpty()
            }

            it("stays leaving if its registration is removed and returns") {
                val registry = newRegistry()
                registry.register(registration())
                registry.markLeaving(ID, Incarnation(1))
                registry.remove(ID)
                registry.register(registration())
                registry.serving().shouldBeEmpty()
            }

            it("is leaving also if it is registered only later") {
                val registry = newRegistry()
                registry.markLeaving(ID, Incarnation(1)) shouldBe false
                registry.register(registration())
                registry.serving().shouldBeEmpty()
            }

            it("does not take later runs along, nor do statements on earlier and later runs change it") {
                val registry = newRegistry()
                registry.register(registration(incarnation = 2))
                registry.markLeaving(ID, Incarnation(1)) shouldBe false
                registry.markLeaving(ID, Incarnation(3)) shouldBe false
                registry.serving().shouldContainExactly(ID)
                registry.markLeaving(ID, Incarnation(2)) shouldBe true
                registry.markLeaving(ID, Incarnation(4))
                registry.register(registration(incarnation = 2))
                registry.serving().shouldBeEmpty()
            }

            it("serves again after its removal if it does not report its runs") {
                val registry = newRegistry()
                registry.register(registration(incarnation = 0))
                registry.markLeaving(ID, Incarnation(0))
                registry.register(registration(incarnation = 0))
                registry.serving().shouldBeEmpty()
                registry.remove(ID)
                registry.register(registration(incarnation = 0))
                registry.serving().shouldContainExactly(ID)
            }
        }

        describe("the registered versions") {
            val first = ServiceVersion("service", SoftwareVersion("v1"))
            val second = ServiceVersion("service", SoftwareVersion("v2"))

            it("are those of the targets that are registered, also of leaving ones") {
                val registry = newRegistry()
                registry.register(registration().copy(version = first.version))
                registry.registeredVersions() shouldBe setOf(first)
                registry.register(registration(isLeaving = true, id = TargetId("b")).copy(version = second.version))
                registry.registeredVersions() shouldBe setOf(first, second)
                registry.isRegistered(second) shouldBe true
                registry.remove(TargetId("b"))
                registry.registeredVersions() shouldBe setOf(first)
                registry.isRegistered(second) shouldBe false
            }

            it("change with the next run of a target") {
                val registry = newRegistry()
                registry.register(registration().copy(version = first.version))
                registry.registeredVersions() shouldBe setOf(first)
                registry.register(registration(incarnation = 2).copy(version = second.version))
                registry.registeredVersions() shouldBe setOf(second)
            }
        }

        describe("a removed run of a target") {
            it("is remembered, and not taken for a later run") {
                val registry = newRegistry()
                registry.register(registration(incarnation = 2))
                registry.wasRemoved(ID, Incarnation(2)) shouldBe false
                registry.remove(ID)
                registry.wasRemoved(ID, Incarnation(2)) shouldBe true
                registry.wasRemoved(ID, Incarnation(3)) shouldBe false
            }
        }

        describe("registrations that expire during a store outage") {
            it("remain in use until the grace period is over") {
                val clock = ManualClock()
                val registry = newRegistry(clock)
                registry.register(registration())
                registry.recordOutageEnd()
                registry.remove(ID)
                clock.advance(GRACE_MILLISECONDS)
                registry.serving().shouldContainExactly(ID)
                clock.advance(1)
                registry.serving().shouldBeEmpty()
            }

            it("are restored if renewed within the grace period") {
                val clock = ManualClock()
                val registry = newRegistry(clock)
                registry.register(registration())
                registry.recordOutageEnd()
                registry.replaceAll(emptyList())
                registry.register(registration())
                clock.advance(GRACE_MILLISECONDS * 2)
                registry.serving().shouldContainExactly(ID)
            }

            it("are removed immediately if the target was leaving") {
                val registry = newRegistry()
                registry.register(registration(isLeaving = true))
                registry.recordOutageEnd()
                registry.remove(ID)
                registry.find(ID) shouldBe null
            }
        }

        describe("a target at whose address another target responds") {
            it("receives no more requests in that run") {
                val registry = newRegistry()
                registry.register(registration())
                registry.markLeaving(ID, Incarnation(1))
                registry.register(registration())
                registry.serving().shouldBeEmpty()
            }
        }

        describe("a failure domain that is out of service") {
            it("has no serving targets") {
                val registry = newRegistry()
                registry.register(registration())
                registry.serving("service", setOf(FailureDomainId("domain"))).shouldBeEmpty()
            }
        }
    })
