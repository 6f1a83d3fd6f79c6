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
            val decision: OrderDecision,
            val now: Long = 1_000,
        )

        describe("the decision on a record") {
            listOf(
                Case(
                    "send the order on its own claim",
                    OrderRecord.Claimed(own, "digest", 2_000),
                    OrderDecision.OwnClaim,
                ),
                Case(
                    "send the order on its own claim after its expiry",
                    OrderRecord.Claimed(own, "digest", 0),
                    OrderDecision.OwnClaim,
                ),
                Case(
                    "refuse the order as running on a claim of another process",
                    OrderRecord.Claimed(other, "digest", 900),
                    OrderDecision.Refuse(RefusalReason.ORDER_RUNNING),
                ),
                Case(
                    "expire a claim of another process after its expiry and the clock margin",
                    OrderRecord.Claimed(other, "digest", 899),
                    OrderDecision.Expire(OrderRecord.Unknown(other, "digest")),
                ),
                Case(
                    "refuse the key as reused on a claim for another body",
                    OrderRecord.Claimed(other, "another digest", 2_000),
                    OrderDecision.Refuse(RefusalReason.IDEMPOTENCY_KEY_REUSED),
                ),
                Case("replay a recorded answer", finished, OrderDecision.Replay(finished)),
                Case(
                    "refuse the order on an unknown outcome",
                    OrderRecord.Unknown(other, "digest"),
                    OrderDecision.Refuse(RefusalReason.ORDER_OUTCOME_UNKNOWN),
                ),
                Case(
                    "refuse the order on its own claim that was recorded as unknown",
                    OrderRecord.Unknown(own, "digest"),
                    OrderDecision.Refuse(RefusalReason.ORDER_OUTCOME_UNKNOWN),
                ),
            ).forEach { case ->
                it("is to ${case.name}") {
                    rules.decide(case.record, own, "digest", case.now) shouldBe case.decision
                }
            }
        }

        describe("the holder of a claim") {
            it("may replace an unknown outcome with the answer it received") {
                rules.mayFinish(OrderRecord.Unknown(own, "digest"), own) shouldBe true
            }

            it("must not replace a recorded answer") {
                rules.mayFinish(OrderRecord.Finished(own, "digest", "answer"), own) shouldBe false
            }

            it("must not release a claim of another process") {
                rules.mayRelease(OrderRecord.Claimed(other, "digest", 0), own) shouldBe false
            }
        }
    })
