package toucanrelay.core.queue

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

private fun report(waiting: Int, organisation: String = "mill"): DemandReport =
    DemandReport(
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
            pacer.recordSent(report(waiting = 2), nowMilliseconds = 1_000)
        }

        describe("a demand report") {
            it("is not repeated without a change") { pacer.due(report(waiting = 2), 5_000) shouldBe DemandDue.Never }

            it("waits for the refresh when an organisation is replaced by another in the same pool") {
                pacer.due(report(waiting = 2, organisation = "depot"), 1_100) shouldBe DemandDue.Refresh(150)
            }

            it("is due immediately for another pool") {
                val demand = report(waiting = 2).pools.values.single()

                pacer.due(DemandReport(persistentMapOf(Pool.ofModel("recipes") to demand)), 1_000) shouldBe
                    DemandDue.AtOnce
            }

            it("waits for the refresh when one of several organisations has no more requests") {
                val mill = report(waiting = 2).pools.values.single()
                val depot = report(waiting = 2, organisation = "depot").pools.values.single()
                val both = DemandReport(persistentMapOf(Pool.ofModel("advice") to mill.addAll(depot)))
                pacer.recordSent(both, nowMilliseconds = 1_000)

                pacer.due(report(waiting = 2), 1_100) shouldBe DemandDue.Refresh(150)
            }

            it("is due immediately when no requests wait any more") {
                pacer.due(DemandReport(), 1_000) shouldBe
                    DemandDue.AtOnce
            }

            it("waits for the refresh when only figures changed") {
                pacer.due(report(waiting = 9), 1_100) shouldBe DemandDue.Refresh(150)
                pacer.due(report(waiting = 9), 1_250) shouldBe DemandDue.Refresh(0)
            }

            it("is due immediately when the agent has granted slots to all reported requests") {
                repeat(2) { pacer.recordGrant() }
                pacer.due(report(waiting = 2), 1_000) shouldBe DemandDue.AtOnce
            }

            it("is due immediately on a new connection") {
                pacer.reset()
                pacer.due(report(waiting = 2), 1_000) shouldBe DemandDue.AtOnce
            }
        }
    })
