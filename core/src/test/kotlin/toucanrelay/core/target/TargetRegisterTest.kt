package toucanrelay.core.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
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

class TargetRegisterTest :
    DescribeSpec({
        fun register(clock: ManualClock = ManualClock()) = TargetRegister(clock, GRACE_MILLISECONDS)

        fun TargetRegister.serving() = serving("service", emptySet()).map { it.registration.id }

        describe("a target that leaves") {
            it("stays leaving when an older registration arrives late") {
                val register = register()
                register.register(registration(isLeaving = true))
                register.register(registration(isLeaving = false))
                register.serving().shouldBeEmpty()
            }

            it("serves again after a restart under the same id") {
                val register = register()
                register.register(registration(isLeaving = true))
                register.register(registration(incarnation = 2))
                register.serving().shouldContainExactly(ID)
            }

            it("is not brought back by a registration of an earlier run") {
                val register = register()
                register.register(registration(incarnation = 2, isLeaving = true))
                register.register(registration(incarnation = 1))
                register.serving().shouldBeEmpty()
            }

            it("gets nothing more at once when its registration is removed") {
                val register = register()
                register.register(registration())
                register.remove(ID)
                register.serving().shouldBeEmpty()
            }
        }

        describe("registrations that lapse while the store is away") {
            it("are used on until the grace is over") {
                val clock = ManualClock()
                val register = register(clock)
                register.register(registration())
                register.noteOutageEnded()
                register.remove(ID)
                clock.advance(GRACE_MILLISECONDS)
                register.serving().shouldContainExactly(ID)
                clock.advance(1)
                register.serving().shouldBeEmpty()
            }

            it("stand again when they are renewed within the grace") {
                val clock = ManualClock()
                val register = register(clock)
                register.register(registration())
                register.noteOutageEnded()
                register.replaceAll(emptyList())
                register.register(registration())
                clock.advance(GRACE_MILLISECONDS * 2)
                register.serving().shouldContainExactly(ID)
            }

            it("do not keep a target that was leaving") {
                val register = register()
                register.register(registration(isLeaving = true))
                register.noteOutageEnded()
                register.remove(ID)
                register.find(ID) shouldBe null
            }
        }

        describe("a target whose address another one answers at") {
            it("gets nothing more in that run") {
                val register = register()
                register.register(registration())
                register.noteReplaced(ID, Incarnation(1))
                register.register(registration())
                register.serving().shouldBeEmpty()
            }
        }

        describe("a failure domain out of service") {
            it("serves nothing") {
                val register = register()
                register.register(registration())
                register.serving("service", setOf(FailureDomainId("domain"))).shouldBeEmpty()
            }
        }
    })
