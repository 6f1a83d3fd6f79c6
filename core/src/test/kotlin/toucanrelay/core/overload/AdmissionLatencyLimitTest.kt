package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class AdmissionLatencyLimitTest :
    DescribeSpec({
        fun limit(served: Double, history: RequestHistory = RequestHistory.NEW, level: Double = 100.0) =
            AdmissionLatencyLimit.milliseconds(1_000, served, level, history)

        describe("the limit on the expected time to the first event") {
            it("falls as an organisation approaches its share, and stays positive beyond it") {
                limit(90.0) shouldBeLessThan limit(50.0)
                limit(50.0) shouldBeLessThan limit(10.0)
                limit(1_000.0) shouldBeGreaterThan 0.0
            }

            it("is higher for the organisation that received less, of two above their share") {
                limit(180.0) shouldBeLessThan limit(120.0)
            }

            it("tells organisations apart however far they are above their share") {
                limit(800.0) shouldBeLessThan limit(400.0)
                limit(400.0) shouldBeLessThan limit(200.0)
            }

            it("falls steadily for a retry as the share is used up") {
                val limits = (0..20).map { limit(it * 10.0, RequestHistory.CALLER_RETRY) }
                limits.zipWithNext().forEach { (before, after) -> after shouldBeLessThanOrEqual before }
                limit(99.0, RequestHistory.CALLER_RETRY) shouldBe
                    (limit(101.0, RequestHistory.CALLER_RETRY) plusOrMinus 40.0)
            }

            it("has its full value for every organisation while nothing is served yet") {
                limit(0.0, level = 0.0) shouldBe limit(0.0)
            }

            it("has its full value for every organisation while the capacity covers all demands") {
                limit(1_000.0, level = Double.POSITIVE_INFINITY) shouldBe limit(0.0)
            }

            it("is higher for retrying callers, unless their organisation has received its share") {
                limit(50.0, RequestHistory.CALLER_RETRY) shouldBeGreaterThan limit(0.0)
                limit(120.0, RequestHistory.CALLER_RETRY) shouldBe limit(120.0)
            }

            it("does not fall below that of an organisation above its share while a request below it waits") {
                fun limitAfter(waited: Long, history: RequestHistory) =
                    AdmissionLatencyLimit.milliseconds(1_000, 50.0, 100.0, history, waited)
                limitAfter(350, RequestHistory.NEW) shouldBeGreaterThan limit(110.0)
                limitAfter(800, RequestHistory.CALLER_RETRY) shouldBeGreaterThan limit(110.0)
            }

            it("leaves no time for a first event that would come after the objective") {
                AdmissionLatencyLimit.milliseconds(1_000, 0.0, 100.0, RequestHistory.NEW, 950) shouldBeLessThan 0.0
            }

            it("is highest for an interrupted request, whatever its organisation received") {
                limit(1_000.0, RequestHistory.INTERRUPTED) shouldBeGreaterThan limit(0.0, RequestHistory.CALLER_RETRY)
            }
        }
    })
