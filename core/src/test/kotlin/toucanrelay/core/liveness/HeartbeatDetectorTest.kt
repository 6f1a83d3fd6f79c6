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
        val terms = HeartbeatTerms(intervalMilliseconds = 1_000, silenceMilliseconds = 3_000)

        describe("a heartbeat detector") {
            it("finds a silent peer within the stated detection time") {
                val clock = ManualClock()
                val detector = HeartbeatDetector(clock, terms)
                detector.heard()

                var silentAfter = 0L
                do {
                    clock.advance(terms.intervalMilliseconds)
                    silentAfter += terms.intervalMilliseconds
                } while (!detector.isSilent() && silentAfter < 60_000)

                (silentAfter <= terms.detectionMilliseconds) shouldBe true
            }

            it("never finds a peer silent that is heard within the silence, whatever the spacing") {
                checkAll(PropTestConfig(seed = 4101), Arb.list(Arb.long(0L..2_999L), 1..50)) { gaps ->
                    val clock = ManualClock()
                    val detector = HeartbeatDetector(clock, terms)
                    gaps.forEach { gap ->
                        detector.heard()
                        clock.advance(gap)
                        detector.isSilent() shouldBe false
                    }
                }
            }

            it("does not count a pause of its own process as silence") {
                val clock = ManualClock()
                val detector = HeartbeatDetector(clock, terms)
                detector.heard()
                clock.advance(60_000)

                detector.isSilent() shouldBe false
            }

            it("still finds a peer silent that stays away after a pause") {
                val clock = ManualClock()
                val detector = HeartbeatDetector(clock, terms)
                clock.advance(60_000)
                detector.isSilent()
                repeat(2) {
                    clock.advance(terms.intervalMilliseconds)
                    detector.isSilent()
                }

                detector.isSilent() shouldBe true
            }
        }
    })
