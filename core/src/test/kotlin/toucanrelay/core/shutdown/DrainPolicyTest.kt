package toucanrelay.core.shutdown

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class DrainPolicyTest :
    DescribeSpec({
        val times = AnswerTimes(longestMilliseconds = 4_000, meanMilliseconds = 1_500.0)
        val repeatable = DrainingRequest(10_000, times, objectiveMilliseconds = 500, mayRunAgain = true)
        val atMostOnce = repeatable.copy(mayRunAgain = false)

        describe("a request in a process that is shutting down") {
            it("is sent if its deadline comes before the end of the process") {
                val endless = DrainingRequest(3_000, AnswerTimes(9_000, 9_000.0), 500, mayRunAgain = false)
                DrainPolicy.maySend(endless, 3_000) shouldBe true
                DrainPolicy.maySend(endless, 2_999) shouldBe false
            }

            it("is sent, if it may run again, when such requests usually take half of what is left") {
                DrainPolicy.maySend(repeatable, 3_000) shouldBe true
                DrainPolicy.maySend(repeatable, 2_999) shouldBe false
            }

            it("is sent, if it must not run again, when even the longest such request would end") {
                DrainPolicy.maySend(atMostOnce, 5_000) shouldBe true
                DrainPolicy.maySend(atMostOnce, 4_999) shouldBe false
            }

            it("is sent without knowledge of such requests only if it may run again") {
                DrainPolicy.maySend(repeatable.copy(times = null), 1_000) shouldBe true
                DrainPolicy.maySend(repeatable.copy(times = null), 999) shouldBe false
                DrainPolicy.maySend(atMostOnce.copy(times = null), 9_999) shouldBe false
            }
        }
    })
