package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.checkAll
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId

class MaxMinShareTest :
    DescribeSpec({
        describe("the max-min level") {
            it("is infinite when the capacity covers all demands") {
                MaxMinShare.level(listOf(1.0, 2.0), 3.0) shouldBe Double.POSITIVE_INFINITY
            }

            it("meets small demands in full and divides the rest evenly") {
                MaxMinShare.level(listOf(1.0, 10.0, 20.0), 9.0) shouldBe 4.0
            }

            it("uses the whole capacity when demands exceed it") {
                val demandLists = Arb.list(Arb.numericDouble(0.0, 100.0), 1..30)
                checkAll(PropTestConfig(seed = 3), demandLists, Arb.numericDouble(0.1, 50.0)) { demands, capacity ->
                    val level = MaxMinShare.level(demands, capacity)
                    if (demands.sum() > capacity) {
                        demands.sumOf { minOf(it, level) } shouldBe (capacity plusOrMinus 1e-6)
                    }
                }
            }
        }

        describe("the levels of organisations that depend on different regions") {
            val near = RegionId("near")
            val far = RegionId("far")

            fun demand(name: String, region: RegionId? = null) = UsageKey(OrganisationId(name), setOfNotNull(region))

            it("are one level where the regions that some depend on are not scarcer for them") {
                val demands = mapOf(demand("free") to 100.0, demand("home", near) to 100.0)
                val levels = MaxMinShare.levels(demands, mapOf(near to 50.0, far to 10.0))
                levels shouldBe mapOf(emptySet<RegionId>() to 30.0, setOf(near) to 30.0)
            }

            it("are lower for those that depend on a scarce region, which leaves the rest to the others") {
                val demands =
                    mapOf(demand("free") to 100.0, demand("home-a", near) to 100.0, demand("home-b", near) to 100.0)
                val levels = MaxMinShare.levels(demands, mapOf(near to 20.0, far to 60.0))
                levels shouldBe mapOf(setOf(near) to 10.0, emptySet<RegionId>() to 60.0)
            }

            it("count an organisation once, whatever the regions of its requests") {
                val demands =
                    mapOf(demand("both") to 40.0, demand("both", near) to 40.0, demand("free") to 80.0)
                MaxMinShare.levels(demands, mapOf(near to 50.0, far to 50.0)).getValue(emptySet()) shouldBe 50.0
            }

            it("count the capacity of an unknown region for organisations that may use all regions") {
                MaxMinShare.levels(mapOf(demand("free") to 9.0), mapOf(null to 4.0)).getValue(emptySet()) shouldBe 4.0
            }

            it("are infinite where the capacities cover the demands") {
                val demands = mapOf(demand("free") to 5.0, demand("home", near) to 10.0)
                val levels = MaxMinShare.levels(demands, mapOf(near to 4.0, far to 6.0))
                levels shouldBe mapOf(setOf(near) to 4.0, emptySet<RegionId>() to Double.POSITIVE_INFINITY)
            }
        }
    })
