package toucanrelay.gateway.stream

import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

/**
 * The targets of a simulation, as they are registered in its store: they join, are replaced by a newer version, and crash.
 *
 * A target that is replaced is registered as leaving and serves on for a while. Each run of a target has an id of its own,
 * from [nextIdentifier].
 */
internal class SimulatedTargets(
    private val clock: ManualClock,
    private val random: Random,
    private val nextIdentifier: () -> Long,
) {
    private var newestVersion = 1
    private var registered = List(TARGETS) { newTarget("v$newestVersion") }
    private var removed = setOf<TargetId>()
    private val endsAtMilliseconds = HashMap<TargetId, Long>()

    /** What a gateway reads from the store now. */
    val view: RegistrationView
        get() = RegistrationView(registered, removed, clock.nowMilliseconds())

    fun serves(target: TargetRegistration): Boolean = registered.any { it.id == target.id }

    /** Replaces one target, or at times all, by targets of the newest version; begins the next one if all have it. */
    fun release() {
        val staying = registered.filter { !it.isLeaving && it.id !in endsAtMilliseconds }
        if (staying.all { it.version == newest() }) newestVersion++
        val replaced =
            if (random.nextInt(FULL_RELEASE_OF) == 0) staying else staying.filter { it.version != newest() }.take(1)
        replaced.forEach { endsAtMilliseconds[it.id] = clock.nowMilliseconds() + DRAIN_MILLISECONDS }
        registered = registered.map { if (it in replaced) it.copy(isLeaving = true) else it }
        registered = registered + replaced.map { newTarget("v$newestVersion") }
    }

    /** Registers a target of a version of its own that crashes soon. */
    fun joinBriefly() {
        val run = nextIdentifier()
        val target = newTarget("short-lived-$run", run)
        val lifeMilliseconds = random.nextLong(MIN_LIFE_MILLISECONDS, MAX_LIFE_MILLISECONDS)
        endsAtMilliseconds[target.id] = clock.nowMilliseconds() + lifeMilliseconds
        registered = registered + target
    }

    /** Removes the targets whose time has come; they no longer serve. */
    fun endDue() {
        val now = clock.nowMilliseconds()
        val ended = registered.filter { now >= (endsAtMilliseconds[it.id] ?: Long.MAX_VALUE) }
        registered = registered - ended
        removed = removed + ended.map { it.id }
    }

    private fun newest() = SoftwareVersion("v$newestVersion")

    private fun newTarget(version: String, run: Long = nextIdentifier()) =
        TargetRegistration(
            TargetId("target-$run"),
            SimulatedStreamGateway.SERVICE,
            TargetAddress("host", 1),
            FailureDomainId("domain"),
            Incarnation(run),
            SoftwareVersion(version),
            slots = 4,
            isLeaving = false,
            coldMilliseconds = 0,
        )

    private companion object {
        const val TARGETS = 4
        const val FULL_RELEASE_OF = 3
        const val MIN_LIFE_MILLISECONDS = 2_500L
        const val MAX_LIFE_MILLISECONDS = 6_000L

        /** Time for which a target that is leaving still serves. */
        const val DRAIN_MILLISECONDS = 2_500L
    }
}
