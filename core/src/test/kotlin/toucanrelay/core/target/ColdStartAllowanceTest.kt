package toucanrelay.core.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.checkAll
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.TargetId

class ColdStartAllowanceTest :
    DescribeSpec({
        fun members(count: Int) = (1..count).map { InstanceId("member-$it") }

        describe("the cold start allowances of the whole fleet") {
            it("never exceed the target's rate and are not all zero") {
                checkAll(
                    PropTestConfig(seed = 7, iterations = 40),
                    Arb.int(1..300),
                    Arb.numericDouble(2.0, 40.0),
                ) { count, perSecond ->
                    val all = members(count)
                    val sum = all.sumOf { ColdStartAllowance.requestsPerSecond(TargetId("t"), it, all, perSecond) }
                    sum.toDouble() shouldBeLessThanOrEqual perSecond
                    sum shouldBeGreaterThan 0
                }
            }

            it("stay within 1.5 times the rate if a tenth of the fleet is unknown to the rest") {
                checkAll(PropTestConfig(seed = 8, iterations = 20), Arb.int(10..200)) { count ->
                    val all = members(count)
                    val known = all.drop(count / 10)
                    val sum =
                        all.sumOf { self ->
                            val view = if (self in known) known else all
                            ColdStartAllowance.requestsPerSecond(TargetId("t"), self, view, 13.0)
                        }
                    sum.toDouble() shouldBeLessThanOrEqual 13.0 * 1.5
                }
            }
        }
    })
