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

class ChargeStepsTest :
    DescribeSpec({
        val depot = OrganisationId("depot")

        describe("charges in steps") {
            it("lose nothing: the sum lags by less than a step") {
                checkAll(PropTestConfig(seed = 91), Arb.list(Arb.numericDouble(-50.0, 100.0), 1..200)) { charges ->
                    val steps = ChargeSteps()
                    val kept = charges.sum() - charges.sumOf { steps.take(depot, it) }

                    kept shouldBeGreaterThanOrEqual -1e-9
                    kept shouldBeLessThan ChargeSteps.virtualTime(1) + 1e-9
                }
            }

            it("refuse what is no number, which would spoil an account for good") {
                listOf(Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY).forEach {
                    shouldThrow<IllegalArgumentException> { ChargeSteps().take(depot, it) }
                }
            }

            it("are the same after they went over the wire") {
                checkAll(PropTestConfig(seed = 92), Arb.numericDouble(0.0, 1e9)) { charge ->
                    val whole = ChargeSteps().take(depot, charge)

                    ChargeSteps.virtualTime(ChargeSteps.count(whole)) shouldBe whole
                }
            }
        }
    })
