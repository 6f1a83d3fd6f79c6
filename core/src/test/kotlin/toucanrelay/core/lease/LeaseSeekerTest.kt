package toucanrelay.core.lease

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private const val HOUR_MILLISECONDS = 3_600_000.0

/** Whether no order of another holder, and none with a lower number, lands between. */
private fun LandedOrder.mayFollow(earlier: LandedOrder): Boolean =
    if (seeker == earlier.seeker) number >= earlier.number else number > earlier.number

@OptIn(ExperimentalKotest::class)
class LeaseSeekerTest :
    DescribeSpec({
        val terms = LeaseTerms()
        val own = ProcessRun(InstanceId("own"), Incarnation(1))
        val other = ProcessRun(InstanceId("other"), Incarnation(1))

        fun seeker(clock: ManualClock): LeaseSeeker {
            var tokens = 0
            return LeaseSeeker(own, clock, terms) { LeaseToken("own-${++tokens}") }
        }

        fun heldByOther(number: Long = 4) =
            LeaseRow("v1", LeaseRecord(other, LeaseToken("other-1"), FencingNumber(number), terms.durationMilliseconds))

        describe("a process that seeks a lease") {
            it("reads first, and takes a lease that does not exist with the first number") {
                val seeker = seeker(ManualClock())
                seeker.next() shouldBe LeaseStep.Read
                seeker.wasRead(null)

                val write = seeker.next().shouldBeInstanceOf<LeaseStep.Write>()
                write.ifVersion.shouldBeNull()
                seeker.wasWritten(write.record, "v1")

                seeker.mayOrder() shouldBe FencingNumber(1)
            }

            it("waits out another's lease and the clock margin from when it first saw it") {
                val clock = ManualClock()
                val seeker = seeker(clock)
                seeker.wasRead(heldByOther())
                clock.advance(terms.durationMilliseconds + terms.clockMarginMilliseconds - 1)
                seeker.wasRead(heldByOther())

                seeker.next() shouldBe LeaseStep.Wait(1)
                clock.advance(1)
                val write = seeker.next().shouldBeInstanceOf<LeaseStep.Write>()
                write.record.number shouldBe FencingNumber(5)
                write.ifVersion shouldBe "v1"
            }

            it("takes a released lease at once, with the next number") {
                val seeker = seeker(ManualClock())
                val row = heldByOther()
                seeker.wasRead(row.copy(record = row.record.copy(isReleased = true)))

                seeker
                    .next()
                    .shouldBeInstanceOf<LeaseStep.Write>()
                    .record.number shouldBe FencingNumber(5)
            }

            it("knows its own write by the token when the answer was lost, and counts from before it was sent") {
                val clock = ManualClock()
                val seeker = seeker(clock)
                seeker.wasRead(null)
                val write = seeker.next().shouldBeInstanceOf<LeaseStep.Write>()
                clock.advance(3_000)
                seeker.hadNoAnswer()
                seeker.mayOrder().shouldBeNull()
                seeker.wasRead(LeaseRow("v1", write.record))

                seeker.mayOrder() shouldBe FencingNumber(1)
                clock.advance(terms.usableMilliseconds - 3_000)
                seeker.mayOrder().shouldBeNull()
            }

            it("stops by its own clock when it was paused") {
                val clock = ManualClock()
                val seeker = seeker(clock)
                seeker.wasRead(null)
                val write = seeker.next().shouldBeInstanceOf<LeaseStep.Write>()
                seeker.wasWritten(write.record, "v1")
                clock.advance(60_000)

                seeker.mayOrder().shouldBeNull()
            }

            it("keeps its number when it renews") {
                val clock = ManualClock()
                val seeker = seeker(clock)
                seeker.wasRead(null)
                val write = seeker.next().shouldBeInstanceOf<LeaseStep.Write>()
                seeker.wasWritten(write.record, "v1")
                clock.advance(terms.usableMilliseconds - terms.renewAheadMilliseconds)

                val renewal = seeker.next().shouldBeInstanceOf<LeaseStep.Write>()
                renewal.record.number shouldBe FencingNumber(1)
                renewal.ifVersion shouldBe "v1"
            }

            it("does not order after it has given the lease back") {
                val seeker = seeker(ManualClock())
                seeker.wasRead(null)
                val write = seeker.next().shouldBeInstanceOf<LeaseStep.Write>()
                seeker.wasWritten(write.record, "v1")

                seeker.release()?.record?.isReleased shouldBe true
                seeker.mayOrder().shouldBeNull()
            }
        }

        describe("processes that seek the same lease while pauses, lost answers, late writes and restarts occur") {
            it("never order at the same time, and numbers strictly grow from holder to holder") {
                var orders = 0
                checkAll(PropTestConfig(seed = 4401, iterations = 300), Arb.int(), Arb.int(2..4)) { seed, processes ->
                    val world = LeaseWorld(Random(seed), processes)
                    world.run(HOUR_MILLISECONDS)

                    world.written.zipWithNext().all { (earlier, later) -> earlier <= later } shouldBe true
                    world.landed.zipWithNext().all { (earlier, later) -> later.mayFollow(earlier) } shouldBe true
                    orders += world.landed.size
                }
                orders shouldBeGreaterThan 300
            }

            it("come to hold it again and again") {
                val world = LeaseWorld(Random(4402), 3)
                world.run(HOUR_MILLISECONDS)

                world.landed
                    .map { it.seeker }
                    .toSet()
                    .size shouldBe 3
            }
        }
    })
