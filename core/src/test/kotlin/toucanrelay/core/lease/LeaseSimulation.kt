package toucanrelay.core.lease

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.Clock
import java.util.PriorityQueue
import kotlin.random.Random

/** An order as delivered to an engine that ignores fencing numbers. */
data class DeliveredOrder(
    val atMilliseconds: Double,
    val process: Int,
    val number: FencingNumber,
)

/**
 * Simulates processes that compete for one lease in a table that delays reads and writes, loses writes and answers, and
 * applies some writes late. The clocks of the processes differ in rate and origin.
 */
class LeaseSimulation(
    private val random: Random,
    processes: Int,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private var now = 0.0
    private var row: LeaseRow? = null
    private var lastVersion = 0
    private var lastToken = 0
    private val simulatedProcesses = List(processes) { Process(it) }

    val delivered = mutableListOf<DeliveredOrder>()

    /** Fencing numbers in the order in which they were written to the row. */
    val written = mutableListOf<FencingNumber>()

    fun run(milliseconds: Double) {
        simulatedProcesses.forEach { it.scheduleStep(random.nextDouble(5_000.0)) }
        while (true) {
            val event = events.poll() ?: return
            if (event.at > milliseconds) return
            now = event.at
            event.action()
        }
    }

    private fun after(delay: Double, action: () -> Unit) {
        events += Event(now + delay, action)
    }

    private inner class Process(
        private val index: Int,
    ) {
        private val origin = random.nextLong(1_000_000)
        private val rate = 1.0 + random.nextDouble(-0.01, 0.01)
        private val clock = Clock { origin + (now * rate).toLong() }
        private var run = 0L
        private var orderDeliveredAt = 0.0
        private var stateMachine = newStateMachine()

        private fun newStateMachine(): LeaseStateMachine {
            val self = ProcessRun(InstanceId("p$index"), Incarnation(++run))
            return LeaseStateMachine(self, clock, settings) { LeaseToken("t${++lastToken}") }
        }

        fun scheduleStep(delay: Double) {
            val pause = if (random.nextInt(12) == 0) random.nextDouble(60_000.0) else 0.0
            after(delay + pause) { step() }
        }

        private fun step() {
            if (random.nextInt(60) == 0) stateMachine = newStateMachine()
            val isOrdering = now < orderDeliveredAt
            if (!isOrdering) stateMachine.currentFencingNumber()?.let { order(it) }
            if (now >= orderDeliveredAt && random.nextInt(40) == 0) stateMachine.release()?.let { return write(it) }
            when (val step = stateMachine.nextStep()) {
                LeaseStep.Read -> read()
                is LeaseStep.Write -> write(step)
                is LeaseStep.Wait -> scheduleStep(random.nextDouble(minOf(step.milliseconds, 2_000L) + 1.0))
            }
        }

        private fun order(number: FencingNumber) {
            val latency = random.nextDouble(settings.stopMarginMilliseconds * 0.9)
            orderDeliveredAt = now + latency
            after(latency) { delivered += DeliveredOrder(now, index, number) }
        }

        private fun read() {
            val requester = stateMachine
            after(latency()) {
                val current = row
                val isLost = random.nextInt(8) == 0
                deliverAnswer(requester) { if (isLost) requester.onNoAnswer() else requester.onRead(current) }
            }
        }

        private fun write(step: LeaseStep.Write) {
            val requester = stateMachine
            when (random.nextInt(6)) {
                0 -> {
                    deliverAnswer(requester) { requester.onNoAnswer() }
                }

                1 -> {
                    after(random.nextDouble(40_000.0)) { put(step) }
                    deliverAnswer(requester) { requester.onNoAnswer() }
                }

                else -> {
                    after(latency()) {
                        val version = put(step)
                        val isLost = random.nextInt(5) == 0
                        deliverAnswer(requester) { report(requester, step, version, isLost) }
                    }
                }
            }
        }

        private fun report(
            requester: LeaseStateMachine,
            step: LeaseStep.Write,
            version: String?,
            isLost: Boolean,
        ) {
            when {
                isLost -> requester.onNoAnswer()
                version == null -> requester.onConflict()
                else -> requester.onWritten(step.record, version)
            }
        }

        private fun deliverAnswer(requester: LeaseStateMachine, report: () -> Unit) {
            val pause = if (random.nextInt(20) == 0) random.nextDouble(30_000.0) else 0.0
            after(latency() + pause) {
                if (requester === stateMachine) report()
                step()
            }
        }

        private fun latency() = random.nextDouble(400.0)
    }

    private fun put(step: LeaseStep.Write): String? {
        if (row?.version != step.ifVersion) return null
        val version = "v${++lastVersion}"
        row = LeaseRow(version, step.record)
        written += step.record.fencingNumber
        return version
    }

    private class Event(
        val at: Double,
        val action: () -> Unit,
    )
}
