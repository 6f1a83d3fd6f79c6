package toucanrelay.measure.fleet

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class FleetPlanTest :
    DescribeSpec({
        describe("a fleet plan") {
            it("assigns entries and targets to the failure domains round-robin") {
                val plan =
                    fleetPlan {
                        region("uusimaa", "u1", "u2")
                        region("pohjanmaa", "p1")
                        organisation("mill")
                        entries(2)
                        engines("advice", 4) { slots = 3 }
                    }
                plan.models.map { it.failureDomain.name } shouldBe listOf("u1", "u2", "p1", "u1")
                plan.entries.map { it.failureDomain.region } shouldBe listOf("uusimaa", "uusimaa")
                plan.modelSlots shouldBe 12
            }

            it("requires an entry, an organisation, and a region before entries") {
                shouldThrow<IllegalArgumentException> { fleetPlan { organisation("mill") } }
                shouldThrow<IllegalArgumentException> {
                    fleetPlan {
                        region("uusimaa", "u1")
                        entries(1)
                    }
                }
                shouldThrow<IllegalArgumentException> { fleetPlan { entries(1) } }
            }
        }
    })
