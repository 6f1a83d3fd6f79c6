package toucanrelay.measure.result

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class GapTermsTest :
    DescribeSpec({
        describe("the bound of the gap") {
            it("is one largest request of each side for a single slot that everyone sees at once") {
                val terms = GapTerms(slots = 1, largestCost = 10.0, unitsPerSecond = 100.0, exchangeDelaySeconds = 0.0)
                terms.boundBetween(1.0, 2.0) shouldBe 15.0
            }

            it("grows with what is served during the exchange delay") {
                val terms = GapTerms(slots = 2, largestCost = 10.0, unitsPerSecond = 100.0, exchangeDelaySeconds = 0.5)
                terms.boundBetween(1.0, 1.0) shouldBe 140.0
            }

            it("is widest for the two least shares") {
                val terms = GapTerms(slots = 1, largestCost = 10.0, unitsPerSecond = 0.0, exchangeDelaySeconds = 0.0)
                terms.widestBound(listOf(4.0, 1.0, 2.0)) shouldBe terms.boundBetween(1.0, 2.0)
            }
        }
    })
