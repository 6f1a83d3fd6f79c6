package toucanrelay.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Exhaustive
import io.kotest.property.checkAll
import io.kotest.property.exhaustive.boolean
import io.kotest.property.exhaustive.enum

private val STATE =
    AttemptState(
        mayRunAgain = true,
        mayHaveRun = false,
        attempts = 1,
        maxAttempts = 2,
        remainingMilliseconds = 1_000,
    )

class NextStepPolicyTest :
    DescribeSpec({
        fun decide(outcome: TargetOutcome, state: AttemptState, hasBudget: Boolean = true) =
            NextStepPolicy.decide(outcome, state) { hasBudget }

        describe("a request that may run only once") {
            val once = STATE.copy(mayRunAgain = false, mayHaveRun = true)

            it("is not retried if it may have run") {
                decide(TargetOutcome.UNKNOWN, once) shouldBe NextStep.FAIL
                decide(TargetOutcome.FAILED, once) shouldBe NextStep.RELAY_FAILURE
            }

            it("is retried if the target rejected it or was not reached") {
                val notRun = once.copy(mayHaveRun = false)
                decide(TargetOutcome.REJECTED, notRun) shouldBe NextStep.RETRY
                decide(TargetOutcome.NOT_SENT, notRun) shouldBe NextStep.RETRY
            }
        }

        describe("a request that may run more than once") {
            it("is retried after an unknown outcome while attempts, budget and time remain") {
                decide(TargetOutcome.UNKNOWN, STATE.copy(mayHaveRun = true)) shouldBe NextStep.RETRY
            }

            it("is not sent more often than its route allows") {
                decide(TargetOutcome.UNKNOWN, STATE.copy(attempts = 2, mayHaveRun = true)) shouldBe NextStep.FAIL
                decide(TargetOutcome.REJECTED, STATE.copy(attempts = 2)) shouldBe NextStep.REFUSE
            }

            it("is not retried without budget") {
                decide(TargetOutcome.REJECTED, STATE, hasBudget = false) shouldBe NextStep.REFUSE
            }
        }

        describe("a refusal, which states that the request did not run") {
            it("is never returned for a request that may have run") {
                checkAll(
                    Exhaustive.enum<TargetOutcome>(),
                    Exhaustive.boolean(),
                    Exhaustive.boolean(),
                ) { outcome, again, budget ->
                    val state = STATE.copy(mayRunAgain = again, mayHaveRun = true, remainingMilliseconds = 10)
                    (decide(outcome, state, budget) == NextStep.REFUSE) shouldBe false
                }
            }
        }
    })
