package toucanrelay.gateway.stream

import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

/** A stream of a simulation, and the version that began it. */
internal class SimulatedStream(
    val id: String,
    val version: SoftwareVersion,
    val deadlineAtMilliseconds: Long,
)

/** What may happen in a simulation beside releases. */
internal enum class StreamFault {
    KILL_ONE,
    KILL_ALL,
    CUT_FROM_STORE,
    CUT_FROM_MEMBERS,
    CUT_FROM_ALL,
    LOSE_STORE,
}

/**
 * Gateways that begin and continue streams at targets of versions that come and go, while [faults] happen.
 *
 * Digests are lost at times, and each gateway reads the registrations at moments of its own. A target that is replaced
 * is registered as leaving and serves on for a while, as do its streams. At times a target of another version joins, and
 * crashes soon. Each run of a target has an id of its own.
 */
internal class StreamVersionSimulation(
    seed: Int,
    private val faults: Set<StreamFault>,
) {
    private class Slot(
        var gateway: SimulatedStreamGateway?,
        val refreshStep: Long,
    ) {
        var downUntil = 0L
        var cutFromStoreUntil = 0L
        var cutFromMembersUntil = 0L
    }

    private val random = Random(seed)
    private val clock = ManualClock(1_000_000)
    private val records = SimulatedStreamRecords()
    private var identifiers = 0L
    private var newestVersion = 1
    private var registered = List(TARGETS) { newTarget() }
    private var removed = setOf<TargetId>()
    private val endsAtMilliseconds = HashMap<TargetId, Long>()
    private val slots = List(GATEWAYS) { Slot(start(it), random.nextLong(REFRESH_STEPS)) }
    private var streams = listOf<SimulatedStream>()
    private var storeAwayUntil = 0L

    /** Number of streams that went on at another version than the one that began them. */
    var joined = 0
        private set

    /** Number of streams that callers took up at a gateway that knew a target of their version. */
    var takenUp = 0
        private set

    /** Number of streams that went on at the version that began them. */
    var continued = 0
        private set

    private val now: Long
        get() = clock.nowMilliseconds()

    /** Runs for [milliseconds] of simulated time. */
    suspend fun run(milliseconds: Long) {
        for (step in 0 until milliseconds / STEP_MILLISECONDS) {
            clock.advance(STEP_MILLISECONDS)
            records.isAway = now < storeAwayUntil
            restartSlots()
            endTargets()
            if (step >= LEAD_STEPS) disturb()
            slots.forEach { if (step % REFRESH_STEPS == it.refreshStep) refresh(it) }
            if (step % DIGEST_STEPS == 0L) exchangeDigests()
            if (step % SAVE_STEPS == 0L) saveAll()
            if (happens(STREAMS_PER_SECOND)) begin()
            if (happens(TAKE_UPS_PER_SECOND)) takeUp()
        }
    }

    private fun disturb() {
        if (happens(RELEASES_PER_SECOND)) release()
        if (happens(SHORT_LIVED_PER_SECOND)) joinBriefly()
        faults.forEach { if (happens(FAULTS_PER_SECOND)) cause(it) }
    }

    private fun happens(perSecond: Double) = random.nextDouble() < perSecond * STEP_MILLISECONDS / 1_000

    private fun newTarget(version: String = "v$newestVersion"): TargetRegistration {
        val run = ++identifiers
        return TargetRegistration(
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
    }

    private fun start(index: Int): SimulatedStreamGateway =
        SimulatedStreamGateway("gateway-$index", now, clock, records) { readNow(slots[index]) }

    /** Lets a gateway read the registrations from the store, and returns whether it can. */
    private fun readNow(slot: Slot): Boolean {
        if (reachesStore(slot)) read(slot)
        return reachesStore(slot)
    }

    /** Replaces one target, or at times all, by targets of the newest version; begins the next one if all have it. */
    private fun release() {
        val newest = SoftwareVersion("v$newestVersion")
        val staying = registered.filter { !it.isLeaving && it.id !in endsAtMilliseconds }
        if (staying.all { it.version == newest }) newestVersion++
        val replaced =
            if (random.nextInt(FULL_RELEASE_OF) == 0) {
                staying
            } else {
                staying.filter { it.version.value != "v$newestVersion" }.take(1)
            }
        replaced.forEach { endsAtMilliseconds[it.id] = now + DRAIN_MILLISECONDS }
        registered =
            registered.map { if (it in replaced) it.copy(isLeaving = true) else it } + replaced.map { newTarget() }
    }

    /** Registers a target of a version of its own that crashes soon. */
    private fun joinBriefly() {
        val target = newTarget("short-lived-$identifiers")
        endsAtMilliseconds[target.id] = now + random.nextLong(MIN_LIFE_MILLISECONDS, MAX_LIFE_MILLISECONDS)
        registered = registered + target
    }

    /** Removes the targets whose time has come; they no longer serve. */
    private fun endTargets() {
        val ended = registered.filter { now >= (endsAtMilliseconds[it.id] ?: Long.MAX_VALUE) }
        registered = registered - ended
        removed = removed + ended.map { it.id }
    }

    private fun cause(fault: StreamFault) {
        val until = now + random.nextLong(MIN_FAULT_MILLISECONDS, MAX_FAULT_MILLISECONDS)
        val slot = slots.random(random)
        when (fault) {
            StreamFault.KILL_ONE -> {
                kill(slot, until)
            }

            StreamFault.KILL_ALL -> {
                slots.forEach { kill(it, until) }
            }

            StreamFault.CUT_FROM_STORE -> {
                slot.cutFromStoreUntil = until
            }

            StreamFault.CUT_FROM_MEMBERS -> {
                slot.cutFromMembersUntil = until
            }

            StreamFault.CUT_FROM_ALL -> {
                slot.cutFromStoreUntil = until
                slot.cutFromMembersUntil = until
            }

            StreamFault.LOSE_STORE -> {
                storeAwayUntil = until
            }
        }
    }

    private fun kill(slot: Slot, until: Long) {
        slot.gateway = null
        slot.downUntil = until
    }

    private fun restartSlots() {
        slots.forEachIndexed { index, slot ->
            if (slot.gateway == null && now >= slot.downUntil) slot.gateway = start(index)
        }
    }

    private fun reachesStore(slot: Slot) = now >= slot.cutFromStoreUntil && now >= storeAwayUntil

    private fun linkedGateways() = slots.filter { now >= it.cutFromMembersUntil }.mapNotNull { it.gateway }

    /** Lets a gateway read the registrations from the store, or from the member that has the newest ones. */
    private fun refresh(slot: Slot) {
        val gateway = slot.gateway ?: return
        if (reachesStore(slot)) return read(slot)
        if (now < slot.cutFromMembersUntil) return
        linkedGateways().mapNotNull { it.view }.maxByOrNull { it.readAtMilliseconds }?.let { gateway.apply(it) }
    }

    private fun read(slot: Slot) {
        slot.gateway?.apply(RegistrationView(registered, removed, now))
    }

    private fun exchangeDigests() {
        val members = linkedGateways()
        members.map { it to it.digest() }.forEach { (sender, digest) ->
            members.filter { it !== sender && random.nextDouble() >= LOST_DIGESTS }.forEach { it.receive(digest) }
        }
    }

    private suspend fun saveAll() {
        slots.filter { reachesStore(it) }.forEach { it.gateway?.save() }
    }

    private fun begin() {
        val gateway = slots.random(random).gateway ?: return
        val target = gateway.targetsOfNewStreams.filter { serves(it) }.randomOrNull(random) ?: return
        val stream = SimulatedStream("stream-${++identifiers}", target.version, now + STREAM_MILLISECONDS)
        gateway.recordEvent(stream, target, isTakeUp = false)
        streams = streams.filter { it.deadlineAtMilliseconds > now } + stream
    }

    private suspend fun takeUp() {
        val gateway = slots.random(random).gateway ?: return
        val alive = streams.filter { it.deadlineAtMilliseconds > now }
        val broken = if (random.nextBoolean()) alive.takeLast(NEWEST_STREAMS) else alive
        val stream = broken.randomOrNull(random) ?: return
        val targets = servingTargets(gateway)
        if (targets.any { it.version == stream.version }) takenUp++
        val decision = gateway.decide(stream) as? TakeUp.Continue ?: return
        val target = targets.firstOrNull { it.version == decision.version } ?: return
        gateway.recordEvent(stream, target, isTakeUp = true)
        if (target.version == stream.version) continued++ else joined++
    }

    /** Returns the targets that [gateway] knows and that still serve. */
    private fun servingTargets(gateway: SimulatedStreamGateway) = gateway.targets.filter { serves(it) }

    private fun serves(target: TargetRegistration) = registered.any { it.id == target.id }

    private companion object {
        const val GATEWAYS = 4
        const val TARGETS = 4
        const val STEP_MILLISECONDS = 20L
        const val DIGEST_STEPS = 10L
        const val SAVE_STEPS = 10L

        /** Steps until the gateways have started, before which nothing happens to them. */
        const val LEAD_STEPS = 50L
        const val REFRESH_STEPS = 35L
        const val LOST_DIGESTS = 0.1
        const val RELEASES_PER_SECOND = 0.3
        const val FULL_RELEASE_OF = 3
        const val SHORT_LIVED_PER_SECOND = 0.05
        const val MIN_LIFE_MILLISECONDS = 2_500L
        const val MAX_LIFE_MILLISECONDS = 6_000L

        /** Time for which a target that is leaving still serves. */
        const val DRAIN_MILLISECONDS = 2_500L
        const val FAULTS_PER_SECOND = 0.15
        const val STREAMS_PER_SECOND = 20.0
        const val TAKE_UPS_PER_SECOND = 20.0

        /** Streams that break soon after they have begun; half of the take-ups are theirs. */
        const val NEWEST_STREAMS = 4
        const val STREAM_MILLISECONDS = 8_000L
        const val MIN_FAULT_MILLISECONDS = 500L
        const val MAX_FAULT_MILLISECONDS = 8_000L
    }
}
