package toucanrelay.core.order

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import toucanrelay.core.refusal.RefusalReason

class OrderRulesTest :
    DescribeSpec({
        val rules = OrderRules(clockMarginMilliseconds = 100)
        val own = ClaimToken("own")
        val other = ClaimToken("other")
        val finished = OrderRecord.Finished(other, "digest", "answer")

        data class Case(
            val name: String,
            val record: OrderRecord,
            val verdict: OrderVerdict,
            val now: Long = 1_000,
        )

        describe("the verdict on a record") {
            listOf(
                Case("own claim", OrderRecord.Claimed(own, "digest", 2_000), OrderVerdict.OwnClaim),
                Case("own claim after its expiry", OrderRecord.Claimed(own, "digest", 0), OrderVerdict.OwnClaim),
                Case(
                    "another's claim",
                    OrderRecord.Claimed(other, "digest", 900),
                    OrderVerdict.Refuse(RefusalReason.ORDER_RUNNING),
                ),
                Case(
                    "another's claim beyond expiry and clock margin",
                    OrderRecord.Claimed(other, "digest", 899),
                    OrderVerdict.Expire(OrderRecord.Unknown(other, "digest")),
                ),
                Case(
                    "another body",
                    OrderRecord.Claimed(other, "another digest", 2_000),
                    OrderVerdict.Refuse(RefusalReason.IDEMPOTENCY_KEY_REUSED),
                ),
                Case("an outcome", finished, OrderVerdict.Replay(finished)),
                Case(
                    "an unknown outcome",
                    OrderRecord.Unknown(other, "digest"),
                    OrderVerdict.Refuse(RefusalReason.ORDER_OUTCOME_UNKNOWN),
                ),
                Case(
                    "its own claim that was given up",
                    OrderRecord.Unknown(own, "digest"),
                    OrderVerdict.Refuse(RefusalReason.ORDER_OUTCOME_UNKNOWN),
                ),
            ).forEach { case ->
                it("is given for ${case.name}") {
                    rules.judge(case.record, own, "digest", case.now) shouldBe case.verdict
                }
            }
        }

        describe("the holder of a claim") {
            it("replaces an unknown outcome with the answer it got") {
                rules.mayFinish(OrderRecord.Unknown(own, "digest"), own) shouldBe true
            }

            it("leaves a recorded outcome alone") {
                rules.mayFinish(OrderRecord.Finished(own, "digest", "answer"), own) shouldBe false
            }

            it("does not touch another's claim") {
                rules.mayRelease(OrderRecord.Claimed(other, "digest", 0), own) shouldBe false
            }
        }
    })
