package toucanrelay.gateway.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class PacedCapacityTest :
    DescribeSpec({
        describe("the wait for targets with limited rates") {
            it("is the time until the next request may be sent, and the time that those ahead need") {
                PacedCapacity(100, 4.0).waitMilliseconds(ahead = 0) shouldBe 100.0
                PacedCapacity(100, 4.0).waitMilliseconds(ahead = 2) shouldBe 600.0
            }

            it("is infinite if no request may be sent") {
                PacedCapacity(null, 0.0).waitMilliseconds(ahead = 0) shouldBeGreaterThan 1e9
            }
        }
    })
