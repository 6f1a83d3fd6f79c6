package toucanrelay.core.limit

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import toucanrelay.core.time.ManualClock

class TokenBucketTest :
    DescribeSpec({
        describe("a token bucket") {
            it("allows no more than its capacity plus the amount refilled") {
                checkAll(PropTestConfig(seed = 11), Arb.list(Arb.int(0..400), 1..200)) { pauses ->
                    val clock = ManualClock()
                    val bucket = TokenBucket(clock, ratePerSecond = 7.0, capacity = 5.0)
                    var taken = 0
                    pauses.forEach { pause ->
                        clock.advance(pause.toLong())
                        if (bucket.tryTake()) taken++
                        taken.toDouble() shouldBeLessThanOrEqual 5.0 + clock.nowMilliseconds() * 7.0 / 1_000.0 + 1e-6
                    }
                }
            }

            it("refills from a negative level, limited to minus its capacity, before anything can be taken") {
                val clock = ManualClock()
                val bucket = TokenBucket(clock, ratePerSecond = 1.0, capacity = 2.0)
                repeat(9) { bucket.take(1.0) }

                bucket.millisecondsUntil(1.0) shouldBe 3_000
                clock.advance(2_999)
                bucket.tryTake() shouldBe false
                clock.advance(1)
                bucket.tryTake() shouldBe true
            }

            it("computes when the amount can be taken") {
                val clock = ManualClock()
                val bucket = TokenBucket(clock, ratePerSecond = 2.0, capacity = 1.0)
                bucket.tryTake() shouldBe true

                bucket.millisecondsUntil() shouldBe 500
                clock.advance(499)
                bucket.tryTake() shouldBe false
                clock.advance(1)
                bucket.tryTake() shouldBe true
            }

            it("never allows more than its capacity at once") {
                TokenBucket(ManualClock(), ratePerSecond = 2.0, capacity = 1.0).millisecondsUntil(2.0) shouldBe
                    Long.MAX_VALUE
            }
        }
    })
