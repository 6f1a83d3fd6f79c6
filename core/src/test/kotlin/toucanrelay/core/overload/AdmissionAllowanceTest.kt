package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

class AdmissionAllowanceTest :
    DescribeSpec({
        fun allowance(served: Double, standing: RequestStanding = RequestStanding.NEW, level: Double = 100.0) =
            AdmissionAllowance.milliseconds(1_000, served, level, standing)

        describe("the allowed time to the first event") {
            it("falls as an organisation comes up to its share, and stays above nothing beyond it") {
                allowance(90.0) shouldBeLessThan allowance(50.0)
                allowance(50.0) shouldBeLessThan allowance(10.0)
                allowance(1_000.0) shouldBeGreaterThan 0.0
            }

            it("prefers, of two organisations above their share, the one that has got less") {
                allowance(180.0) shouldBeLessThan allowance(120.0)
            }

            it("is the whole one for everybody while the capacity covers all demands") {
                allowance(1_000.0, level = Double.POSITIVE_INFINITY) shouldBe allowance(0.0)
            }

            it("lets callers that come back go before others, unless their organisation has its share") {
                allowance(50.0, RequestStanding.RETURNED) shouldBeGreaterThan allowance(0.0)
                allowance(120.0, RequestStanding.RETURNED) shouldBe allowance(120.0)
            }

            it("is longest for a request that a target has begun, whatever its organisation got") {
                allowance(1_000.0, RequestStanding.BEGUN) shouldBeGreaterThan allowance(0.0, RequestStanding.RETURNED)
            }
        }
    })
