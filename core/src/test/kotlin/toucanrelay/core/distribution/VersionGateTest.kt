package toucanrelay.core.distribution

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

class VersionGateTest :
    DescribeSpec({
        val settings = VersionGateSettings()

        describe("a gate that holds a version") {
            it("accepts higher versions and rejects lower ones") {
                val gate = VersionGate(ManualClock())

                gate.offer(BundleVersion(2)) shouldBe VersionOutcome.TAKEN
                gate.offer(BundleVersion(2)) shouldBe VersionOutcome.HELD
                gate.offer(BundleVersion(1)) shouldBe VersionOutcome.OUTDATED
                gate.offer(BundleVersion(4)) shouldBe VersionOutcome.TAKEN
                gate.held shouldBe BundleVersion(4)
            }

            it("has nothing in force before a confirmation") {
                val gate = VersionGate(ManualClock())
                gate.offer(BundleVersion(2))
                gate.isInForce shouldBe false

                gate.confirmByPeer(BundleVersion(2), agoMilliseconds = null)
                gate.isInForce shouldBe false

                gate.confirmByPeer(BundleVersion(2), agoMilliseconds = 300)
                gate.isInForce shouldBe true
                gate.confirmedAgoMilliseconds shouldBe 300
            }

            it("is not in force while a higher version is confirmed but not received") {
                val gate = VersionGate(ManualClock())
                gate.offer(BundleVersion(2))

                gate.confirmByPeer(BundleVersion(3), agoMilliseconds = 0)
                gate.isInForce shouldBe false

                gate.offer(BundleVersion(3))
                gate.isInForce shouldBe true
            }
        }

        describe("a gate of a process that was paused") {
            fun pausedGate(clock: ManualClock) =
                VersionGate(clock, settings).also {
                    it.offer(BundleVersion(2))
                    it.confirmByTable(BundleVersion(2))
                    clock.advance(settings.pauseLimitMilliseconds + 1)
                }

            it("has nothing in force right after the pause") {
                pausedGate(ManualClock()).isInForce shouldBe false
            }

            it("ignores messages that may have been buffered during the pause") {
                val clock = ManualClock()
                val gate = pausedGate(clock)
                gate.confirmByPeer(BundleVersion(2), agoMilliseconds = 0)
                gate.isInForce shouldBe false

                clock.advance(settings.bufferedMessagesMilliseconds)
                gate.confirmByPeer(BundleVersion(2), agoMilliseconds = 0)
                gate.isInForce shouldBe true
            }

            it("accepts a read of the table service immediately") {
                val gate = pausedGate(ManualClock())

                gate.confirmByTable(BundleVersion(2))

                gate.isInForce shouldBe true
            }
        }

        describe("gates of a fleet under crashes, pauses, delays and duplicates") {
            it("never revert, and have in force at least the version of the confirming peer or the table") {
                checkAll(PropTestConfig(seed = 20_261, iterations = 300), Arb.long()) { seed ->
                    GateScenario(Random(seed)).run()
                }
            }
        }
    })

/** Gates that read a table and exchange versions over a network that delays, duplicates and loses messages. */
private class GateScenario(
    private val random: Random,
) {
    private data class Message(
        val to: Int,
        val version: BundleVersion,
        val confirmedAtMilliseconds: Long?,
    )

    private val clock = ManualClock()
    private val network = mutableListOf<Message>()
    private val gates = MutableList(NODES) { VersionGate(clock) }
    private val highestInForce = LongArray(NODES)
    private var table = 1L

    fun run() {
        repeat(STEPS) {
            clock.advance(random.nextLong(400))
            when (random.nextInt(12)) {
                0 -> table++
                1 -> crash(random.nextInt(NODES))
                2 -> clock.advance(6_000)
                3, 4 -> readTable(random.nextInt(NODES))
                in 5..8 -> send(random.nextInt(NODES), random.nextInt(NODES))
                else -> deliver()
            }
            gates.indices.forEach { check(it) }
        }
    }

    private fun crash(node: Int) {
        gates[node] = VersionGate(clock)
        highestInForce[node] = 0
    }

    private fun readTable(node: Int) {
        gates[node].offer(BundleVersion(table))
        gates[node].confirmByTable(BundleVersion(table))
        gates[node].held shouldBe BundleVersion(table)
        gates[node].isInForce shouldBe true
    }

    private fun send(from: Int, to: Int) {
        val version = gates[from].held ?: return
        val confirmedAtMilliseconds = gates[from].confirmedAgoMilliseconds?.let { clock.nowMilliseconds() - it }
        repeat(random.nextInt(1, 3)) { network += Message(to, version, confirmedAtMilliseconds) }
    }

    private fun deliver() {
        if (network.isEmpty()) return
        val message = network.removeAt(random.nextInt(network.size))
        val gate = gates[message.to]
        val wasInForce = gate.isInForce
        if (random.nextBoolean()) gate.offer(message.version)
        gate.confirmByPeer(message.version, message.confirmedAtMilliseconds?.let { clock.nowMilliseconds() - it })
        if (!wasInForce && gate.isInForce) gate.held!! shouldBeGreaterThanOrEqualTo message.version
    }

    private fun check(node: Int) {
        val gate = gates[node]
        if (!gate.isInForce) return
        val version = gate.held!!.value
        version shouldBeGreaterThanOrEqualTo highestInForce[node]
        highestInForce[node] = version
    }

    private companion object {
        const val NODES = 5
        const val STEPS = 200
    }
}
