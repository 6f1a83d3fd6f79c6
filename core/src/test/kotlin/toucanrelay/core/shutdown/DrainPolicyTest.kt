package toucanrelay.core.shutdown

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class DrainPolicyTest :
    DescribeSpec({
        val repeatable = DrainingRequest(10_000, longestMilliseconds = 2_000, 500, mayRunAgain = true)
        val atMostOnce = repeatable.copy(mayRunAgain = false)

        describe("a request in a process that is shutting down") {
            it("is sent if its deadline comes before the end of the process") {
                val endless = DrainingRequest(3_000, longestMilliseconds = 9_000, 500, mayRunAgain = false)
                DrainPolicy.maySend(endless, 3_000) shouldBe true
                DrainPolicy.maySend(endless, 2_999) shouldBe false
            }

            it("is sent if such requests were answered in less than what is left") {
                DrainPolicy.maySend(repeatable, 2_500) shouldBe true
                DrainPolicy.maySend(repeatable, 2_400) shouldBe false
            }

            it("needs more time if it must not run again") {
                DrainPolicy.maySend(atMostOnce, 4_000) shouldBe true
                DrainPolicy.maySend(atMostOnce, 3_900) shouldBe false
            }

            it("is sent without knowledge of such requests only if it may run again") {
                DrainPolicy.maySend(repeatable.copy(longestMilliseconds = null), 625) shouldBe true
                DrainPolicy.maySend(repeatable.copy(longestMilliseconds = null), 624) shouldBe false
                DrainPolicy.maySend(atMostOnce.copy(longestMilliseconds = null), 9_999) shouldBe false
            }
        }
    })
