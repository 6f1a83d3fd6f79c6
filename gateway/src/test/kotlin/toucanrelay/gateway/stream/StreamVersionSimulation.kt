package toucanrelay.gateway.stream

import toucanrelay.core.identity.SoftwareVersion
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
 * Digests are lost at times, and each gateway reads the registrations at moments of its own. Streams of a target that is
 * leaving go on as long as it serves. At times a target of another version joins, and crashes soon.
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
    private val targets = SimulatedTargets(clock, random) { ++identifiers }
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
            targets.endDue()
            if (step >= LEAD_STEPS) disturb()
            slots.forEach { if (step % REFRESH_STEPS == it.refreshStep) refresh(it) }
            if (step % DIGEST_STEPS == 0L) exchangeDigests()
            if (step % SAVE_STEPS == 0L) saveAll()
            if (happens(STREAMS_PER_SECOND)) begin()
            if (happens(TAKE_UPS_PER_SECOND)) takeUp()
        }
    }

    private fun disturb() {
        if (happens(RELEASES_PER_SECOND)) targets.release()
        if (happens(SHORT_LIVED_PER_SECOND)) targets.joinBriefly()
        faults.forEach { if (happens(FAULTS_PER_SECOND)) cause(it) }
    }

    private fun happens(perSecond: Double) = random.nextDouble() < perSecond * STEP_MILLISECONDS / 1_000

    private fun start(index: Int): SimulatedStreamGateway =
        SimulatedStreamGateway("gateway-$index", now, clock, records) { tryRead(slots[index]) }

    /** Lets a gateway read the registrations from the store, and returns whether it can. */
    private fun tryRead(slot: Slot): Boolean {
        if (reachesStore(slot)) read(slot)
        return reachesStore(slot)
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
        slot.gateway?.apply(targets.view)
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
        val target = gateway.targetsOfNewStreams.filter { targets.serves(it) }.randomOrNull(random) ?: return
        val stream = SimulatedStream("stream-${++identifiers}", target.version, now + STREAM_MILLISECONDS)
        gateway.recordEvent(stream, target, isTakeUp = false)
        streams = streams.filter { it.deadlineAtMilliseconds > now } + stream
    }

    private suspend fun takeUp() {
        val gateway = slots.random(random).gateway ?: return
        val alive = streams.filter { it.deadlineAtMilliseconds > now }
        val broken = if (random.nextBoolean()) alive.takeLast(NEWEST_STREAMS) else alive
        val stream = broken.randomOrNull(random) ?: return
        val serving = gateway.targets.filter { targets.serves(it) }
        if (serving.any { it.version == stream.version }) takenUp++
        val decision = gateway.decide(stream) as? TakeUp.Continue ?: return
        val target = serving.firstOrNull { it.version == decision.version } ?: return
        gateway.recordEvent(stream, target, isTakeUp = true)
        if (target.version == stream.version) continued++ else joined++
    }

    private companion object {
        const val GATEWAYS = 4
        const val STEP_MILLISECONDS = 20L
        const val DIGEST_STEPS = 10L
        const val SAVE_STEPS = 10L

        /** Steps until the gateways have started, before which nothing happens to them. */
        const val LEAD_STEPS = 50L
        const val REFRESH_STEPS = 35L
        const val LOST_DIGESTS = 0.1
        const val RELEASES_PER_SECOND = 0.3
        const val SHORT_LIVED_PER_SECOND = 0.05
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
