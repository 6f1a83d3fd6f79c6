package toucanrelay.measure.result

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val inputs = GapBoundInputs(slots = 2, largestCost = 10.0, unitsPerSecond = 100.0, exchangeDelaySeconds = 0.5)

class GapBoundInputsTest :
    DescribeSpec({
        describe("the bound on the service gap") {
            it("counts unpropagated charges twice and the largest request four times for each slot") {
                // (2 * 100 * 0.5 + (4 * 2 + 1) * 10) * (1 + 1)
                inputs.boundBetween(1.0, 1.0) shouldBe 380.0
            }

            it("grows with hints that exceed the cost") {
                inputs.copy(hintFactor = 10.0).boundBetween(1.0, 1.0) shouldBe 2_180.0
            }

            it("uses the two smallest shares for the widest bound") {
                inputs.widestBound(listOf(4.0, 1.0, 2.0)) shouldBe inputs.boundBetween(1.0, 2.0)
            }

            it("requires two shares") {
                shouldThrow<IllegalArgumentException> { inputs.widestBound(listOf(1.0)) }
            }
        }
    })
