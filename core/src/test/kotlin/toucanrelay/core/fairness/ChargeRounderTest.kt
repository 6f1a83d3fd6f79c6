package toucanrelay.core.fairness

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.checkAll
import toucanrelay.core.identity.OrganisationId

class ChargeRounderTest :
    DescribeSpec({
        val depot = OrganisationId("depot")

        describe("rounded charges") {
            it("fall short of the exact charges by less than one step in total") {
                checkAll(PropTestConfig(seed = 91), Arb.list(Arb.numericDouble(-50.0, 100.0), 1..200)) { charges ->
                    val rounder = ChargeRounder()
                    val remainder = charges.sum() - charges.sumOf { rounder.roundDown(depot, it) }

                    remainder shouldBeGreaterThanOrEqual -1e-9
                    remainder shouldBeLessThan ChargeRounder.toVirtualTime(1) + 1e-9
                }
            }

            it("reject values that are not finite, which would corrupt an account permanently") {
                listOf(Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY).forEach {
                    shouldThrow<IllegalArgumentException> { ChargeRounder().roundDown(depot, it) }
                }
            }

            it("are unchanged after conversion to steps and back") {
                checkAll(PropTestConfig(seed = 92), Arb.numericDouble(0.0, 1e9)) { charge ->
                    val whole = ChargeRounder().roundDown(depot, charge)

                    ChargeRounder.toVirtualTime(ChargeRounder.toSteps(whole)) shouldBe whole
                }
            }
        }
    })
