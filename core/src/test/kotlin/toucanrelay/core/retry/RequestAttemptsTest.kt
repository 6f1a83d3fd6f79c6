package toucanrelay.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.refusal.RetryReason
import kotlin.random.Random

private const val DEADLINE_MILLISECONDS = 1_000_000L

private fun policy(budget: RetryBudget = RetryBudget()) = RetryPolicy(budget, Random(7))

private val anyOutcome =
    Arb.element(
        RefusalReason.entries.map { AttemptOutcome.Refused(it) } +
            RefusalReason.entries.flatMap { reason -> Executed.entries.map { AttemptOutcome.Failed(reason, it) } } +
            List(10) { AttemptOutcome.Lost } + List(10) { AttemptOutcome.NeverSent },
    )

class RequestAttemptsTest :
    DescribeSpec({
        describe("a request that is not idempotent") {
            it("is not retried or reported as not executed once it may have run") {
                checkAll(PropTestConfig(seed = 4201, iterations = 500), Arb.list(anyOutcome, 1..20)) { outcomes ->
                    val attempts =
                        RequestAttempts(
                            isIdempotent = false,
                            DEADLINE_MILLISECONDS,
                            policy(RetryBudget(reserve = 100.0)),
                        )
                    var mayHaveRun = false
                    for (outcome in outcomes) {
                        mayHaveRun = mayHaveRun || outcome.mayHaveRun
                        val decision = attempts.decide(outcome, nowMilliseconds = 0)
                        if (mayHaveRun) {
                            decision.shouldBeInstanceOf<RetryDecision.GiveUp>().executed shouldBe Executed.UNKNOWN
                        }
                        if (decision is RetryDecision.GiveUp) break
                    }
                }
            }
        }

        describe("any request") {
            it("is reported as not executed only if it cannot have run in any attempt") {
                checkAll(
                    PropTestConfig(seed = 4202, iterations = 500),
                    Arb.boolean(),
                    Arb.list(anyOutcome, 1..30),
                ) { isIdempotent, outcomes ->
                    val attempts =
                        RequestAttempts(isIdempotent, DEADLINE_MILLISECONDS, policy(RetryBudget(reserve = 100.0)))
                    val seen = outcomes.takeWhile { attempts.decide(it, 0) is RetryDecision.Retry }
                    val ran = (seen + outcomes.drop(seen.size).take(1)).any { it.mayHaveRun }
                    attempts.executed shouldBe if (ran) Executed.UNKNOWN else Executed.NO
                }
            }

            it("has a bounded number of attempts") {
                checkAll(PropTestConfig(seed = 4203, iterations = 200), anyOutcome) { outcome ->
                    val policy = policy(RetryBudget(reserve = 1_000.0))
                    val attempts = RequestAttempts(isIdempotent = true, DEADLINE_MILLISECONDS, policy)
                    var sent = 1
                    while (attempts.decide(outcome, 0) is RetryDecision.Retry) sent += 1
                    sent shouldBeLessThanOrEqual policy.maxRefusals
                }
            }

            it("is not retried once the caller has received a part of the answer") {
                checkAll(PropTestConfig(seed = 4204, iterations = 200), anyOutcome) { outcome ->
                    val attempts = RequestAttempts(isIdempotent = true, DEADLINE_MILLISECONDS, policy())
                    attempts.isAnswerStarted = true
                    attempts.decide(outcome, 0).shouldBeInstanceOf<RetryDecision.GiveUp>()
                }
            }

            it("is not retried after its deadline") {
                val attempts = RequestAttempts(isIdempotent = true, DEADLINE_MILLISECONDS, policy())
                attempts.decide(AttemptOutcome.Refused(RefusalReason.TARGET_FULL), DEADLINE_MILLISECONDS) shouldBe
                    RetryDecision.GiveUp(RefusalReason.DEADLINE_BEFORE_START, Executed.NO)
            }

            it("is given up immediately on a refusal that applies to all targets") {
                val attempts = RequestAttempts(isIdempotent = true, DEADLINE_MILLISECONDS, policy())
                attempts.decide(AttemptOutcome.Refused(RefusalReason.FORBIDDEN_POOL), 0) shouldBe
                    RetryDecision.GiveUp(RefusalReason.FORBIDDEN_POOL, Executed.NO)
            }

            it("is retried without delay or budget if the target is full") {
                val attempts =
                    RequestAttempts(isIdempotent = false, DEADLINE_MILLISECONDS, policy(RetryBudget(reserve = 0.0)))
                attempts.decide(AttemptOutcome.Refused(RefusalReason.TARGET_FULL), 0) shouldBe
                    RetryDecision.Retry(RetryReason.NOT_RUN, delayMilliseconds = 0)
            }
        }

        describe("the retries of all requests") {
            it("stay within the reserve plus the ratio of live traffic") {
                checkAll(
                    PropTestConfig(seed = 4205, iterations = 100),
                    Arb.list(Arb.int(0..4), 1..400),
                    Arb.enum<Executed>(),
                ) { failuresOfRequests, executed ->
                    val policy = policy(RetryBudget(ratio = 0.1, reserve = 5.0))
                    var retries = 0
                    failuresOfRequests.forEach { failures ->
                        policy.budget.deposit()
                        val attempts = RequestAttempts(isIdempotent = true, DEADLINE_MILLISECONDS, policy)
                        repeat(failures) {
                            val outcome = AttemptOutcome.Failed(RefusalReason.TARGET_FAILED, executed)
                            if (attempts.decide(outcome, 0) is RetryDecision.Retry) retries += 1
                        }
                    }
                    retries shouldBeLessThanOrEqual 5 + (failuresOfRequests.size * 0.1).toInt() + 1
                }
            }
        }
    })
