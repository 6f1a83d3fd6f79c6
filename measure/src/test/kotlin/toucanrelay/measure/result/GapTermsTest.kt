package toucanrelay.measure.result

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val terms = GapTerms(slots = 2, largestCost = 10.0, unitsPerSecond = 100.0, exchangeDelaySeconds = 0.5)

class GapTermsTest :
    DescribeSpec({
        describe("the bound of the gap") {
            it("counts what is unknown twice and the largest request of each slot four times") {
                // (2 * 100 * 0.5 + (4 * 2 + 1) * 10) * (1 + 1)
                terms.boundBetween(1.0, 1.0) shouldBe 380.0
            }

            it("grows with hints that exceed the cost") {
                terms.copy(hintFactor = 10.0).boundBetween(1.0, 1.0) shouldBe 2_180.0
            }

            it("is widest for the two least shares") {
                terms.widestBound(listOf(4.0, 1.0, 2.0)) shouldBe terms.boundBetween(1.0, 2.0)
            }

            it("needs two shares") {
                shouldThrow<IllegalArgumentException> { terms.widestBound(listOf(1.0)) }
            }
        }
    })
