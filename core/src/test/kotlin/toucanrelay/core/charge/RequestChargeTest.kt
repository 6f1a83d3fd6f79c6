package toucanrelay.core.charge

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import toucanrelay.core.bundle.ServiceWeights
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

private val weights = ServiceWeights()

class RequestChargeTest :
    DescribeSpec({
        describe("a charge") {
            it("follows the answer within one step and equals the reported cost at the end for any hint") {
                checkAll(
                    PropTestConfig(seed = 4301, iterations = 300),
                    Arb.int(1..2_000),
                    Arb.int(0..3_000),
                    Arb.int(1..500),
                ) { hinted, generated, prompt ->
                    val charge =
                        RequestCharge(weights, CostHint(promptTokens = 10.0, generatedTokens = hinted.toDouble()))
                    var total = charge.start()
                    repeat(generated) { index ->
                        total += charge.addGenerated(1)
                        total shouldBeGreaterThanOrEqual 1.0 + index + 1 - 16
                    }
                    total += charge.settle(prompt.toLong(), generated.toLong())
                    total shouldBe (prompt * 0.1 + generated plusOrMinus 1e-6)
                    charge.units shouldBe (total plusOrMinus 1e-6)
                }
            }

            it("is zero after a refund") {
                val charge = RequestCharge(weights, CostHint.ofModelCall(bodyBytes = 400, generatedTokens = 100.0))
                charge.start() + charge.refund() shouldBe 0.0
            }

            it("keeps the counted tokens of an answer that was cut off") {
                val charge = RequestCharge(weights, CostHint(promptTokens = 100.0, generatedTokens = 1_000.0))
                charge.start() + charge.addGenerated(40) + charge.settleUnreported() shouldBe (50.0 plusOrMinus 1e-6)
            }

            it("of a service call is the weight of one call") {
                val charge = RequestCharge(weights, CostHint.ofServiceCall)
                charge.start() + charge.settleUnreported() shouldBe weights.serviceCall
            }
        }

        describe("an estimate") {
            it("is within a quarter of the true ratio after 30 requests") {
                checkAll(PropTestConfig(seed = 4302, iterations = 100), Arb.int(1..100)) { tenths ->
                    val ratio = tenths / 10.0
                    val estimates = CostEstimates()
                    val organisation = OrganisationId("mill")
                    val pool = Pool.ofModel("advice")
                    repeat(30) { estimates.recordGenerated(organisation, pool, 1_000, (1_000 * ratio).toLong()) }
                    val error = estimates.expectedTokens(organisation, pool, 1_000) / 1_000 - ratio
                    kotlin.math.abs(error) shouldBeLessThan 0.25 * maxOf(ratio, 0.1)
                }
            }

            it("equals the hint before the first request") {
                CostEstimates().expectedTokens(OrganisationId("mill"), Pool.ofModel("advice"), 70) shouldBe 70.0
            }
        }
    })
