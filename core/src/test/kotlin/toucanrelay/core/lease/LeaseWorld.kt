package toucanrelay.core.lease

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.Clock
import java.util.PriorityQueue
import kotlin.random.Random

/** An order as it lands at an engine that ignores fencing numbers. */
data class LandedOrder(
    val atMilliseconds: Double,
    val seeker: Int,
    val number: FencingNumber,
)

/** Processes that seek one lease from a table that delays, loses and lands writes late; clocks differ in rate and origin. */
class LeaseWorld(
    private val random: Random,
    processes: Int,
    private val terms: LeaseTerms = LeaseTerms(),
) {
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private var now = 0.0
    private var row: LeaseRow? = null
    private var lastVersion = 0
    private var lastToken = 0
    private val seekers = List(processes) { Seeker(it) }

    val landed = mutableListOf<LandedOrder>()

    /** Numbers in the order in which the row took them. */
    val written = mutableListOf<FencingNumber>()

    fun run(milliseconds: Double) {
        seekers.forEach { it.wakeIn(random.nextDouble(5_000.0)) }
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

    private inner class Seeker(
        private val index: Int,
    ) {
        private val origin = random.nextLong(1_000_000)
        private val rate = 1.0 + random.nextDouble(-0.01, 0.01)
        private val clock = Clock { origin + (now * rate).toLong() }
        private var run = 0L
        private var orderLandsAt = 0.0
        private var machine = newMachine()

        private fun newMachine(): LeaseSeeker {
            val self = ProcessRun(InstanceId("p$index"), Incarnation(++run))
            return LeaseSeeker(self, clock, terms) { LeaseToken("t${++lastToken}") }
        }

        fun wakeIn(delay: Double) {
            val pause = if (random.nextInt(12) == 0) random.nextDouble(60_000.0) else 0.0
            after(delay + pause) { act() }
        }

        private fun act() {
            if (random.nextInt(60) == 0) machine = newMachine()
            val isOrdering = now < orderLandsAt
            if (!isOrdering) machine.mayOrder()?.let { order(it) }
            if (now >= orderLandsAt && random.nextInt(40) == 0) machine.release()?.let { return write(it) }
            when (val step = machine.next()) {
                LeaseStep.Read -> read()
                is LeaseStep.Write -> write(step)
                is LeaseStep.Wait -> wakeIn(random.nextDouble(minOf(step.milliseconds, 2_000L) + 1.0))
            }
        }

        private fun order(number: FencingNumber) {
            val flight = random.nextDouble(terms.stopMarginMilliseconds * 0.9)
            orderLandsAt = now + flight
            after(flight) { landed += LandedOrder(now, index, number) }
        }

        private fun read() {
            val asked = machine
            after(travel()) {
                val seen = row
                val isLost = random.nextInt(8) == 0
                answer(asked) { if (isLost) asked.hadNoAnswer() else asked.wasRead(seen) }
            }
        }

        private fun write(step: LeaseStep.Write) {
            val asked = machine
            when (random.nextInt(6)) {
                0 -> {
                    answer(asked) { asked.hadNoAnswer() }
                }

                1 -> {
                    after(random.nextDouble(40_000.0)) { put(step) }
                    answer(asked) { asked.hadNoAnswer() }
                }

                else -> {
                    after(travel()) {
                        val version = put(step)
                        val isLost = random.nextInt(5) == 0
                        answer(asked) { report(asked, step, version, isLost) }
                    }
                }
            }
        }

        private fun report(
            asked: LeaseSeeker,
            step: LeaseStep.Write,
            version: String?,
            isLost: Boolean,
        ) {
            when {
                isLost -> asked.hadNoAnswer()
                version == null -> asked.hadConflict()
                else -> asked.wasWritten(step.record, version)
            }
        }

        private fun answer(asked: LeaseSeeker, report: () -> Unit) {
            val pause = if (random.nextInt(20) == 0) random.nextDouble(30_000.0) else 0.0
            after(travel() + pause) {
                if (asked === machine) report()
                act()
            }
        }

        private fun travel() = random.nextDouble(400.0)
    }

    private fun put(step: LeaseStep.Write): String? {
        if (row?.version != step.ifVersion) return null
        val version = "v${++lastVersion}"
        row = LeaseRow(version, step.record)
        written += step.record.number
        return version
    }

    private class Event(
        val at: Double,
        val action: () -> Unit,
    )
}
