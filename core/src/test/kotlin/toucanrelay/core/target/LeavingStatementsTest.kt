package toucanrelay.core.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.ManualClock

private fun run(target: String) = LeavingRun(TargetId(target), Incarnation(1))

class LeavingStatementsTest :
    DescribeSpec({
        lateinit var clock: ManualClock
        lateinit var registry: TargetRegistry
        lateinit var statements: LeavingStatements
        val reported = mutableListOf<Pair<LeavingRun, LeavingSource>>()

        beforeEach {
            clock = ManualClock()
            registry = TargetRegistry(clock, expiryGraceMilliseconds = 2_200)
            reported.clear()
            statements = LeavingStatements(clock, registry) { run, source -> reported += run to source }
            listOf("a", "b").forEach { name ->
                val address = TargetAddress("host", 1)
                registry.register(
                    TargetRegistration(
                        TargetId(name),
                        "service",
                        address,
                        FailureDomainId("domain"),
                        Incarnation(1),
                        slots = 1,
                        isLeaving = false,
                        coldMilliseconds = 0,
                    ),
                )
            }
        }

        fun serving() = registry.serving("service", emptySet()).map { it.registration.id.value }

        describe("a target that says that it is leaving") {
            it("is out of service at once, whoever it said so to, and reported once") {
                repeat(2) { statements.recordAnswer(run("a")) }
                serving() shouldContainExactly listOf("b")
                statements.merge(run("b"))
                statements.merge(run("a"))
                serving().shouldBeEmpty()
                reported shouldContainExactly
                    listOf(run("a") to LeavingSource.ANSWER, run("b") to LeavingSource.MEMBER)
            }

            it("is told to the others for some seconds after its last answer, if it said so to this instance") {
                statements.recordAnswer(run("a"))
                clock.advance(9_000)
                statements.recordAnswer(run("b"))
                statements.recordAnswer(run("a"))
                statements.merge(run("c"))
                statements.runsToShare(10) shouldContainExactly listOf(run("a"), run("b"))
                statements.runsToShare(1) shouldContainExactly listOf(run("a"))
                clock.advance(10_001)
                statements.runsToShare(10).shouldBeEmpty()
            }
        }
    })
