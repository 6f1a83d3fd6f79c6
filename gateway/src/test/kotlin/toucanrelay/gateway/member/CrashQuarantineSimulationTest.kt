package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.quarantine.CrashQuarantine
import toucanrelay.core.quarantine.Suspect
import toucanrelay.core.quarantine.TargetRun
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private const val STEP_MILLISECONDS = 50L
private const val DIGEST_STEPS = 4
private const val FAR_DIGEST_STEPS = 12
private const val CRASHES_TO_KNOW = 3
private const val EXCHANGE_MILLISECONDS = 4_000L

/** What the targets of a simulation crash on. */
private enum class CrashCause {
    /** A part, with which several requests come. */
    PROMPT_PART,

    /** A request that comes again and shares its parts with sound ones. */
    REQUEST,
}

/** Gateways that exchange evidence over lossy digests, and targets that crash on one suspect and at random. */
private class CrashQuarantineSimulation(
    private val cause: CrashCause,
    private val lostDigests: Double,
    private val otherCrashesPerSecond: Double,
) {
    private val clock = ManualClock(1_000_000)
    private val random = Random(SEED)
    private val gateways = MutableList(GATEWAYS) { gateway() }
    private var crashes = 0
    private var thirdCrashAt: Long? = null

    /** Crashing requests that reached a target later than the exchange of evidence takes. */
    var lateCrashes = 0
        private set

    /** Sound requests, by whether they were sent to a target. */
    val soundRequests = mutableMapOf(true to 0, false to 0)

    private class Member(
        val quarantine: CrashQuarantine,
        val exchange: CrashEvidenceExchange,
    )

    fun run(seconds: Int, onSecond: CrashQuarantineSimulation.(Int) -> Unit = {}) {
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

    private fun gateway(): Member = CrashQuarantine(clock).let { Member(it, CrashEvidenceExchange(it, clock)) }

    private fun badSuspects(): List<Suspect> =
        when (cause) {
            CrashCause.PROMPT_PART -> listOf(commonPart(), Suspect.PromptPart("bad"), soundRequest())
            CrashCause.REQUEST -> listOf(commonPart(), ownPart(), Suspect.Request("bad"))
        }

    private fun sendBad() {
        val suspects = badSuspects()
        val gateway = gateways.random(random)
        if (gateway.quarantine.quarantined(suspects) != null) return
        val knownSince = thirdCrashAt
        if (knownSince != null && clock.nowMilliseconds() > knownSince + EXCHANGE_MILLISECONDS) lateCrashes++
        crash(listOf(gateway to suspects))
        crashes++
        if (crashes == CRASHES_TO_KNOW) thirdCrashAt = clock.nowMilliseconds()
    }

    /** A target crashes that has [culprits] and sound requests of several gateways to answer. */
    private fun crash(culprits: List<Pair<Member, List<Suspect>>>) {
        val number = random.nextInt()
        val address = TargetAddress("10.0.0.${random.nextInt(TARGETS)}", 1)
        val run = TargetRun(TargetId("target-$number"), Incarnation(clock.nowMilliseconds()), address)
        val bystanders = List(BYSTANDERS) { gateways.random(random) to soundSuspects() }
        (bystanders + culprits).forEach { (gateway, suspects) -> gateway.quarantine.recordCrash(run, suspects) }
    }

    private fun sendSound() {
        val gateway = gateways.random(random)
        val suspects = soundSuspects()
        val isSent = gateway.quarantine.quarantined(suspects) == null
        soundRequests.merge(isSent, 1, Int::plus)
        if (isSent) gateway.quarantine.recordAnswer(suspects)
    }

    private fun soundSuspects(): List<Suspect> = listOf(commonPart(), ownPart(), soundRequest())

    private fun commonPart() = Suspect.PromptPart("common-${random.nextInt(COMMON_PARTS)}")

    private fun ownPart() = Suspect.PromptPart("own-${random.nextInt(OWN_PARTS)}")

    private fun soundRequest() = Suspect.Request("sound-${random.nextInt(SOUND_REQUESTS)}")

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
        const val SOUND_REQUESTS = 5_000
    }
}

class CrashQuarantineSimulationTest :
    DescribeSpec({
        CrashCause.entries.forEach { cause ->
            listOf(0.0, 0.3, 0.7).forEach { lost ->
                describe("a fleet that loses $lost of its digests, with targets that crash on a $cause and at random") {
                    val simulation = CrashQuarantineSimulation(cause, lost, otherCrashesPerSecond = 0.5)
                    simulation.run(seconds = 90) { second -> if (second % 10 == 9) replace(second / 10) }

                    it("sends at most three more of the crashing requests once members could know of three crashes") {
                        simulation.lateCrashes shouldBeLessThanOrEqual 3
                    }

                    it("goes on sending the sound requests") {
                        simulation.soundRequests.getValue(true) shouldBeGreaterThan 10_000
                        simulation.soundRequests.getValue(false) shouldBe 0
                    }
                }
            }
        }
    })
