package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

class RetryDelayTest :
    DescribeSpec({
        describe("the retry delay") {
            it("is at most a third of the remaining time, so that callers follow it") {
                checkAll(PropTestConfig(seed = 5), Arb.long(200L..60_000L)) { remaining ->
                    RetryDelay.milliseconds(remaining, Random(remaining)).shouldBeBetween(25, remaining / 3)
                }
            }

            it("has jitter, so that refused callers do not retry at the same time") {
                val random = Random(1)
                (1..50)
                    .map { RetryDelay.milliseconds(3_000, random) }
                    .toSet()
                    .size
                    .let { it > 30 } shouldBe true
            }
        }
    })
