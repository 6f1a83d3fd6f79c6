package toucanrelay.core.retry

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import toucanrelay.core.refusal.RefusalReason
import kotlin.random.Random

class BackoffTest :
    DescribeSpec({
        describe("a backoff delay") {
            it("has an upper bound that doubles with each failure up to the cap") {
                val backoff = Backoff(baseMilliseconds = 10, capMilliseconds = 1_000)
                checkAll(PropTestConfig(seed = 4206, iterations = 500), Arb.int(1..200), Arb.int()) { failures, seed ->
                    val bound = if (failures > 7) 1_000L else minOf(1_000L, 10L shl (failures - 1))
                    backoff.delayMilliseconds(failures, Random(seed)) shouldBeInRange 0L..bound
                }
            }

            it("rejects a base above the cap") {
                shouldThrow<IllegalArgumentException> { Backoff(baseMilliseconds = 5, capMilliseconds = 4) }
            }
        }

        describe("the Retry-After value") {
            it("is given for every retryable reason and no other") {
                checkAll(
                    PropTestConfig(seed = 4207, iterations = 300),
                    Arb.enum<RefusalReason>(),
                    Arb.int(),
                ) { reason, seed ->
                    val seconds = RetryAfter.seconds(reason, Random(seed))
                    if (reason.isRetryable) {
                        seconds.shouldNotBeNull() shouldBeInRange 1L..20L
                    } else {
                        seconds
                            .shouldBeNull()
                    }
                }
            }
        }
    })
