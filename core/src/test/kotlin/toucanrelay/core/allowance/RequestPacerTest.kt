package toucanrelay.core.allowance

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import toucanrelay.core.time.ManualClock

class RequestPacerTest :
    DescribeSpec({
        val clock = ManualClock(0)

        fun RequestPacer.sendFor(milliseconds: Int): Int =
            (0 until milliseconds).count {
                clock.advance(1)
                maySend().also { isAllowed -> if (isAllowed) recordSent() }
            }

        describe("a pacer without a rate") {
            it("allows any number of requests") {
                val pacer = RequestPacer(clock)
                pacer.sendFor(100) shouldBe 100
                pacer.millisecondsUntilNext() shouldBe 0
            }
        }

        describe("a pacer with a rate") {
            it("counts the requests sent before and keeps the rate") {
                val pacer = RequestPacer(clock)
                pacer.sendFor(100)
                pacer.ratePerSecond = 2.5
                pacer.maySend() shouldBe false
                pacer.millisecondsUntilNext() shouldBe 400
                pacer.sendFor(4_000) shouldBeInRange 9..10
            }

            it("saves up little more than one request") {
                val pacer = RequestPacer(clock)
                pacer.ratePerSecond = 4.0
                clock.advance(60_000)
                pacer.sendFor(100) shouldBe 1
            }

            it("allows a request at once if none was sent before") {
                val pacer = RequestPacer(clock)
                pacer.ratePerSecond = 4.0
                pacer.sendFor(100) shouldBe 1
            }

            it("keeps its level when the rate changes") {
                val pacer = RequestPacer(clock)
                pacer.recordSent()
                pacer.ratePerSecond = 1.0
                clock.advance(500)
                pacer.ratePerSecond = 5.0
                pacer.millisecondsUntilNext() shouldBe 100
            }

            it("never allows a request at a rate of zero") {
                val pacer = RequestPacer(clock)
                pacer.recordSent()
                pacer.ratePerSecond = 0.0
                pacer.sendFor(10_000) shouldBe 0
                pacer.millisecondsUntilNext() shouldBe null
            }
        }
    })
