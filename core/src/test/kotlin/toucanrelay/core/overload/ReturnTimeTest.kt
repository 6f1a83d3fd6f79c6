package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

class ReturnTimeTest :
    DescribeSpec({
        describe("the time to come back") {
            it("is one that callers follow, a third of what they have left at most") {
                checkAll(PropTestConfig(seed = 5), Arb.long(200L..60_000L)) { remaining ->
                    ReturnTime.milliseconds(remaining, Random(remaining)).shouldBeBetween(25, remaining / 3)
                }
            }

            it("is spread, so that refused callers do not return together") {
                val random = Random(1)
                (1..50)
                    .map { ReturnTime.milliseconds(3_000, random) }
                    .toSet()
                    .size
                    .let { it > 30 } shouldBe true
            }
        }
    })
