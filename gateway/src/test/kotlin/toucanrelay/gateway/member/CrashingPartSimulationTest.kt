package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.quarantine.PromptPartQuarantine
import toucanrelay.core.quarantine.TargetRun
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private const val STEP_MILLISECONDS = 50L
private const val DIGEST_STEPS = 4
private const val FAR_DIGEST_STEPS = 12
private const val CRASHES_TO_KNOW = 5
private const val EXCHANGE_MILLISECONDS = 4_000L

/** Gateways that exchange evidence over lossy digests, and targets that crash on one part and at random. */
private class CrashingPartSimulation(
    private val lostDigests: Double,
    private val otherCrashesPerSecond: Double,
) {
    private val clock = ManualClock(1_000_000)
    private val random = Random(SEED)
    private val gateways = MutableList(GATEWAYS) { gateway() }
    private var crashes = 0
    private var fifthCrashAt: Long? = null

    /** Requests with the crashing part that reached a target later than the exchange of evidence takes. */
    var lateCrashes = 0
        private set

    /** Requests without the part, by whether they were sent to a target. */
    val soundRequests = mutableMapOf(true to 0, false to 0)

    private class Member(
        val quarantine: PromptPartQuarantine,
        val exchange: PartEvidenceExchange,
    )

    fun run(seconds: Int, onSecond: CrashingPartSimulation.(Int) -> Unit = {}) {
        repeat(seconds * STEPS_PER_SECOND) { step ->
            clock.advance(STEP_MILLISECONDS)
            if (step % STEPS_PER_SECOND == 0) onSecond(step / STEPS_PER_SECOND)
            if (random.nextDouble() < BAD_PER_SECOND / STEPS_PER_SECOND) sendBad()
            repeat(SOUND_PER_STEP) { sendSound() }
            if (random.nextDouble() < otherCrashesPerSecond / STEPS_PER_SECOND) crash(emptyList())
            exchangeDigests(step)
        }
    }

    /** Replaces the gateway with [index] by one that knows nothing. */
    fun replace(index: Int) {
        gateways[index] = gateway()
    }

    private fun gateway(): Member = PromptPartQuarantine(clock).let { Member(it, PartEvidenceExchange(it, clock)) }

    private fun sendBad() {
        val parts = listOf("common-${random.nextInt(COMMON_PARTS)}", "bad")
        val gateway = gateways.random(random)
        if (gateway.quarantine.quarantinedPart(parts) != null) return
        val knownSince = fifthCrashAt
        if (knownSince != null && clock.nowMilliseconds() > knownSince + EXCHANGE_MILLISECONDS) lateCrashes++
        crash(listOf(gateway to parts))
        crashes++
        if (crashes == CRASHES_TO_KNOW) fifthCrashAt = clock.nowMilliseconds()
    }

    /** A target crashes that has [culprits] and sound requests of several gateways to answer. */
    private fun crash(culprits: List<Pair<Member, List<String>>>) {
        val number = random.nextInt()
        val address = TargetAddress("10.0.0.${random.nextInt(TARGETS)}", 1)
        val run = TargetRun(TargetId("target-$number"), Incarnation(clock.nowMilliseconds()), address)
        val bystanders = List(BYSTANDERS) { gateways.random(random) to soundParts() }
        (bystanders + culprits).forEach { (gateway, parts) -> gateway.quarantine.recordCrash(run, parts) }
    }

    private fun sendSound() {
        val gateway = gateways.random(random)
        val parts = soundParts()
        val isSent = gateway.quarantine.quarantinedPart(parts) == null
        soundRequests.merge(isSent, 1, Int::plus)
        if (isSent) gateway.quarantine.recordAnswer(parts)
    }

    private fun soundParts() = listOf("common-${random.nextInt(COMMON_PARTS)}", "own-${random.nextInt(OWN_PARTS)}")

    private fun exchangeDigests(step: Int) {
        val isFar = step % FAR_DIGEST_STEPS == 0
        if (step % DIGEST_STEPS != 0) return
        gateways.forEachIndexed { from, sender ->
            val entries = sender.exchange.shared()
            gateways.forEachIndexed { to, receiver ->
                val isAddressed = from != to && (isFar || from % 2 == to % 2)
                if (isAddressed && random.nextDouble() >= lostDigests) receiver.exchange.receive(entries)
            }
        }
    }

    private companion object {
        const val SEED = 23
        const val GATEWAYS = 20
        const val TARGETS = 28
        const val STEPS_PER_SECOND = 20
        const val BAD_PER_SECOND = 3.0
        const val SOUND_PER_STEP = 10
        const val BYSTANDERS = 12
        const val COMMON_PARTS = 4
        const val OWN_PARTS = 400
    }
}

class CrashingPartSimulationTest :
    DescribeSpec({
        listOf(0.0, 0.3, 0.7).forEach { lost ->
            describe("a fleet that loses $lost of its digests, with targets that crash on a part and at random") {
                val simulation = CrashingPartSimulation(lost, otherCrashesPerSecond = 0.5)
                simulation.run(seconds = 90) { second -> if (second % 10 == 9) replace(second / 10) }

                it("sends at most three more requests with the part once members could know of five crashes") {
                    simulation.lateCrashes shouldBeLessThanOrEqual 3
                }

                it("goes on sending the sound requests") {
                    simulation.soundRequests.getValue(true) shouldBeGreaterThan 10_000
                    simulation.soundRequests.getValue(false) shouldBe 0
                }
            }
        }
    })
