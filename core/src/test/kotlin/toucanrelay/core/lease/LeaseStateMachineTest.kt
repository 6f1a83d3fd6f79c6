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

/** Returns whether this order is a valid successor of [earlier]: fencing numbers grow strictly between holders. */
private fun DeliveredOrder.isValidAfter(earlier: DeliveredOrder): Boolean =
    if (process == earlier.process) number >= earlier.number else number > earlier.number

@OptIn(ExperimentalKotest::class)
class LeaseStateMachineTest :
    DescribeSpec({
        val settings = LeaseSettings()
        val self = ProcessRun(InstanceId("own"), Incarnation(1))
        val other = ProcessRun(InstanceId("other"), Incarnation(1))

        fun stateMachine(clock: ManualClock): LeaseStateMachine {
            var tokens = 0
            return LeaseStateMachine(self, clock, settings) { LeaseToken("own-${++tokens}") }
        }

        fun heldByOther(number: Long = 4) =
            LeaseRow(
                "v1",
                LeaseRecord(other, LeaseToken("other-1"), FencingNumber(number), settings.durationMilliseconds),
            )

        describe("a lease state machine") {
            it("reads first, and acquires a lease that does not exist with the first fencing number") {
                val stateMachine = stateMachine(ManualClock())
                stateMachine.nextStep() shouldBe LeaseStep.Read
                stateMachine.onRead(null)

                val write = stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                write.ifVersion.shouldBeNull()
                stateMachine.onWritten(write.record, "v1")

                stateMachine.currentFencingNumber() shouldBe FencingNumber(1)
            }

            it("writes again when an acquiring write got no answer and had no effect") {
                val clock = ManualClock()
                val stateMachine = stateMachine(clock)
                stateMachine.onRead(null)
                stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                stateMachine.onNoAnswer()
                clock.advance(settings.retryMilliseconds)
                stateMachine.nextStep() shouldBe LeaseStep.Read
                stateMachine.onRead(null)

                stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
            }

            it("counts another holder's lease from its first read, whatever reads got no answer since") {
                val clock = ManualClock()
                val stateMachine = stateMachine(clock)
                stateMachine.onRead(heldByOther())
                clock.advance(settings.durationMilliseconds + settings.clockMarginMilliseconds)
                stateMachine.onNoAnswer()
                clock.advance(settings.retryMilliseconds)
                stateMachine.onRead(heldByOther())

                stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
            }

            it("waits for another holder's lease and the clock margin from when it first read the lease") {
                val clock = ManualClock()
                val stateMachine = stateMachine(clock)
                stateMachine.onRead(heldByOther())
                clock.advance(settings.durationMilliseconds + settings.clockMarginMilliseconds - 1)
                stateMachine.onRead(heldByOther())

                stateMachine.nextStep() shouldBe LeaseStep.Wait(1)
                clock.advance(1)
                val write = stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                write.record.fencingNumber shouldBe FencingNumber(5)
                write.ifVersion shouldBe "v1"
            }

            it("acquires a released lease immediately, with the next fencing number") {
                val stateMachine = stateMachine(ManualClock())
                val row = heldByOther()
                stateMachine.onRead(row.copy(record = row.record.copy(isReleased = true)))

                stateMachine
                    .nextStep()
                    .shouldBeInstanceOf<LeaseStep.Write>()
                    .record.fencingNumber shouldBe FencingNumber(5)
            }

            it("recognises its own write by the token after a lost answer, and counts from before it was sent") {
                val clock = ManualClock()
                val stateMachine = stateMachine(clock)
                stateMachine.onRead(null)
                val write = stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                clock.advance(3_000)
                stateMachine.onNoAnswer()
                stateMachine.currentFencingNumber().shouldBeNull()
                stateMachine.onRead(LeaseRow("v1", write.record))

                stateMachine.currentFencingNumber() shouldBe FencingNumber(1)
                clock.advance(settings.usableMilliseconds - 3_000)
                stateMachine.currentFencingNumber().shouldBeNull()
            }

            it("stops sending orders by its own clock after a pause") {
                val clock = ManualClock()
                val stateMachine = stateMachine(clock)
                stateMachine.onRead(null)
                val write = stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                stateMachine.onWritten(write.record, "v1")
                clock.advance(60_000)

                stateMachine.currentFencingNumber().shouldBeNull()
            }

            it("keeps its fencing number when it renews") {
                val clock = ManualClock()
                val stateMachine = stateMachine(clock)
                stateMachine.onRead(null)
                val write = stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                stateMachine.onWritten(write.record, "v1")
                clock.advance(settings.usableMilliseconds - settings.renewAheadMilliseconds)

                val renewal = stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                renewal.record.fencingNumber shouldBe FencingNumber(1)
                renewal.ifVersion shouldBe "v1"
            }

            it("does not send orders after releasing the lease") {
                val stateMachine = stateMachine(ManualClock())
                stateMachine.onRead(null)
                val write = stateMachine.nextStep().shouldBeInstanceOf<LeaseStep.Write>()
                stateMachine.onWritten(write.record, "v1")

                stateMachine.release()?.record?.isReleased shouldBe true
                stateMachine.currentFencingNumber().shouldBeNull()
            }
        }

        describe("processes competing for one lease with pauses, lost answers, late writes and restarts") {
            it("never send orders at the same time, and fencing numbers strictly grow from holder to holder") {
                var orders = 0
                checkAll(PropTestConfig(seed = 4401, iterations = 300), Arb.int(), Arb.int(2..4)) { seed, processes ->
                    val simulation = LeaseSimulation(Random(seed), processes)
                    simulation.run(HOUR_MILLISECONDS)

                    simulation.written.zipWithNext().all { (earlier, later) -> earlier <= later } shouldBe true
                    simulation.delivered.zipWithNext().all { (earlier, later) -> later.isValidAfter(earlier) } shouldBe
                        true
                    orders += simulation.delivered.size
                }
                orders shouldBeGreaterThan 300
            }

            it("all acquire the lease") {
                val simulation = LeaseSimulation(Random(4402), 3)
                simulation.run(HOUR_MILLISECONDS)

                simulation.delivered
                    .map { it.process }
                    .toSet()
                    .size shouldBe 3
            }
        }
    })
