package toucanrelay.core.queue

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

private fun statement(waiting: Int, organisation: String = "mill"): DemandStatement =
    DemandStatement(
        persistentMapOf(
            Pool.ofModel("advice") to
                persistentListOf(OrganisationDemand(OrganisationId(organisation), 1.0, 1.0, waiting, 10.0, 0)),
        ),
    )

class DemandPacerTest :
    DescribeSpec({
        val pacer = DemandPacer(refreshMilliseconds = 250)

        beforeEach {
            pacer.reset()
            pacer.stated(statement(waiting = 2), nowMilliseconds = 1_000)
        }

        describe("a statement of demand") {
            it("is not repeated") { pacer.dueInMilliseconds(statement(waiting = 2), 5_000) shouldBe null }

            it("is due at once for another organisation") {
                pacer.dueInMilliseconds(statement(waiting = 2, organisation = "depot"), 1_000) shouldBe 0
            }

            it("is due at once when nobody waits any more") {
                pacer.dueInMilliseconds(DemandStatement(), 1_000) shouldBe
                    0
            }

            it("waits for the refresh when only figures changed") {
                pacer.dueInMilliseconds(statement(waiting = 9), 1_100) shouldBe 150
                pacer.dueInMilliseconds(statement(waiting = 9), 1_250) shouldBe 0
            }

            it("is due at once when the agent has granted all that it knew of") {
                repeat(2) { pacer.granted() }
                pacer.dueInMilliseconds(statement(waiting = 2), 1_000) shouldBe 0
            }

            it("is due at once on a new connection") {
                pacer.reset()
                pacer.dueInMilliseconds(statement(waiting = 2), 1_000) shouldBe 0
            }
        }
    })
