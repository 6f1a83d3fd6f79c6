package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.checkAll

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
    })
