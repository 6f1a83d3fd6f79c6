package toucanrelay.core.liveness

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import toucanrelay.core.time.ManualClock

@OptIn(ExperimentalKotest::class)
class HeartbeatDetectorTest :
    DescribeSpec({
        val settings = HeartbeatSettings(intervalMilliseconds = 1_000, silenceMilliseconds = 3_000)

        describe("a heartbeat detector") {
            it("detects a silent peer within the specified detection time") {
                val clock = ManualClock()
                val detector = HeartbeatDetector(clock, settings)
                detector.recordMessage()

                var silentAfter = 0L
                do {
                    clock.advance(settings.intervalMilliseconds)
                    silentAfter += settings.intervalMilliseconds
                } while (!detector.isSilent() && silentAfter < 60_000)

                (silentAfter <= settings.detectionMilliseconds) shouldBe true
            }

            it("never reports a peer as silent whose messages arrive within the timeout, at any spacing") {
                checkAll(PropTestConfig(seed = 4101), Arb.list(Arb.long(0L..2_999L), 1..50)) { gaps ->
                    val clock = ManualClock()
                    val detector = HeartbeatDetector(clock, settings)
                    gaps.forEach { gap ->
                        detector.recordMessage()
                        clock.advance(gap)
                        detector.isSilent() shouldBe false
                    }
                }
            }

            it("does not count a pause of its own process as silence") {
                val clock = ManualClock()
                val detector = HeartbeatDetector(clock, settings)
                detector.recordMessage()
                clock.advance(60_000)

                detector.isSilent() shouldBe false
            }

            it("still detects a peer that stays silent after a pause") {
                val clock = ManualClock()
                val detector = HeartbeatDetector(clock, settings)
                clock.advance(60_000)
                detector.isSilent()
                repeat(2) {
                    clock.advance(settings.intervalMilliseconds)
                    detector.isSilent()
                }

                detector.isSilent() shouldBe true
            }
        }
    })
