package toucanrelay.daemon.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.tinylog.kotlin.Logger
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.distribution.VersionGate
import toucanrelay.core.distribution.VersionGateSettings
import toucanrelay.core.distribution.VersionOutcome
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.Clock
import toucanrelay.store.bundle.BundleError
import toucanrelay.store.bundle.BundleVerifier
import toucanrelay.store.bundle.SignedBundle
import toucanrelay.wire.BundleUpdate
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat
import java.util.concurrent.ConcurrentHashMap

/**
 * The bundles that this process holds: takes higher versions from the table service and from peers, passes them on, and
 * shows the latest as in force while it is confirmed.
 */
internal class HeldBundles(
    private val clock: Clock,
    private val verifier: BundleVerifier,
    meters: MeterRegistry,
    terms: VersionGateSettings = VersionGateSettings(),
) : BundleRegister,
    BundleExchange {
    private val lock = Any()
    private val gate = VersionGate(clock, terms)
    private val history = LinkedHashMap<BundleVersion, SignedBundle>()
    private val updates = ConcurrentHashMap<BundleStep, BundleUpdate>()
    private val inForce = MutableStateFlow<Bundle?>(null)
    private val heldVersion = MutableStateFlow(0L)
    private var held: Bundle? = null
    private var isReleased = false
    private var wantedVersion = 0L
    private var wantedAtMilliseconds = 0L
    private val taken = meters.counter("toucanrelay.fleet.bundle.taken")
    private val refused = meters.counter("toucanrelay.fleet.bundle.refused")

    init {
        meters.gauge("toucanrelay.fleet.bundle.version", heldVersion) { it.value.toDouble() }
        meters.gauge("toucanrelay.fleet.bundle.in.force", inForce) {
            it.value
                ?.version
                ?.value
                ?.toDouble() ?: 0.0
        }
    }

    override val current: StateFlow<Bundle?> = CheckedStateFlow(inForce.asStateFlow()) { noteTime() }

    /** The version held, whether or not it is confirmed; zero for none. */
    val version: StateFlow<Long> = heldVersion.asStateFlow()

    /** The share of [organisation] in the bundle that is held, in force or not. */
    fun shareOf(organisation: OrganisationId): Double? =
        synchronized(lock) { held?.organisations?.get(organisation)?.share }

    /** The targets in the bundle that is held, in force or not. */
    fun targetCount(): Int = synchronized(lock) { held?.targets?.size ?: 0 }

    /** Milliseconds since a process on the path read the bundle from the table service; null when unconfirmed. */
    fun confirmedAgoMilliseconds(): Long? = synchronized(lock) { gate.confirmedAgoMilliseconds }

    /** Lets a confirmed bundle be in force; before, the process is not ready to act on one. */
    fun release() {
        synchronized(lock) {
            isReleased = true
            publish()
        }
    }

    /** Notes that time passes; a process that was paused has no bundle in force until it is confirmed anew. */
    fun noteTime() {
        synchronized(lock) {
            gate.detectPause()
            publish()
        }
    }

    /** Takes in what the table service showed. */
    fun takeFromTable(signed: SignedBundle) {
        take(signed).onSuccess {
            synchronized(lock) {
                gate.confirmByTable(signed.version)
                publish()
            }
        }
    }

    /** Takes in [signed] as an operator gave it to this process; whether it is in force is for a confirmation to say. */
    fun takeFromOperator(signed: SignedBundle): Result<Bundle, BundleError> = take(signed)

    override fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat =
        synchronized(lock) {
            Heartbeat
                .newBuilder()
                .setSequence(sequence)
                .setAcknowledged(acknowledged)
                .setBundleVersion(heldVersion.value)
                .setBundleConfirmedAgoMilliseconds(gate.confirmedAgoMilliseconds ?: UNCONFIRMED)
                .build()
        }

    override fun wanted(peer: Heartbeat): BundleWanted? =
        synchronized(lock) {
            if (peer.bundleVersion <= 0) return null
            val ago = peer.bundleConfirmedAgoMilliseconds.takeIf { it >= 0 }
            gate.confirmByPeer(BundleVersion(peer.bundleVersion), ago)
            publish()
            if (isToBeAskedFor(peer.bundleVersion)) ask(peer.bundleVersion) else null
        }

    override fun update(request: BundleWanted): BundleUpdate? {
        val latest = synchronized(lock) { gate.held?.let { history[it] } } ?: return null
        val base =
            synchronized(lock) { history[BundleVersion(request.heldVersion)] }?.takeIf {
                it.version <
                    latest.version
            }
        return updates.computeIfAbsent(BundleStep(base?.version, latest.version)) {
            if (base == null) BundleCodec.whole(latest) else BundleCodec.patch(base, latest)
        }
    }

    override fun accept(update: BundleUpdate) {
        if (update.version <= heldVersion.value) return
        BundleCodec
            .read(update) { base -> synchronized(lock) { history[base] } }
            .onFailure { refuse(update.version, it.detail) }
            .onSuccess { take(it) }
    }

    // Several peers tell of a new version at once; one of them is asked.
    private fun isToBeAskedFor(version: Long): Boolean {
        if (version <= heldVersion.value) return false
        return version > wantedVersion || clock.nowMilliseconds() - wantedAtMilliseconds >= ASK_AGAIN_MILLISECONDS
    }

    private fun ask(version: Long): BundleWanted {
        wantedVersion = version
        wantedAtMilliseconds = clock.nowMilliseconds()
        return BundleWanted.newBuilder().setHeldVersion(heldVersion.value).build()
    }

    // Signatures of large documents take long to check, so that it is done outside the lock.
    private fun take(signed: SignedBundle): Result<Bundle, BundleError> {
        heldAs(signed)?.let { return Ok(it) }
        return verifier
            .verify(signed)
            .onFailure { refuse(signed.version.value, it.detail) }
            .onSuccess { bundle ->
                synchronized(lock) {
                    if (gate.offer(signed.version) == VersionOutcome.TAKEN) keep(signed, bundle)
                    publish()
                }
            }
    }

    private fun heldAs(signed: SignedBundle): Bundle? =
        synchronized(lock) {
            held?.takeIf { it.version == signed.version && history[signed.version]?.signature == signed.signature }
        }

    private fun keep(signed: SignedBundle, bundle: Bundle) {
        held = bundle
        heldVersion.value = signed.version.value
        history[signed.version] = signed
        if (history.size > HISTORY) history.remove(history.keys.first())
        updates.clear()
        taken.increment()
        Logger.info { "fleet: holds bundle version ${signed.version}" }
    }

    private fun refuse(version: Long, detail: String) {
        refused.increment()
        Logger.warn { "fleet: refused bundle version $version: $detail" }
    }

    private fun publish() {
        val before = inForce.value
        inForce.value = held.takeIf { isReleased && gate.isInForce }
        if (before != null && inForce.value == null) Logger.warn { "fleet: bundle unconfirmed after a pause" }
    }

    /** A change of version that peers ask for. */
    private data class BundleStep(
        val from: BundleVersion?,
        val to: BundleVersion,
    )

    private companion object {
        const val UNCONFIRMED = -1L
        const val ASK_AGAIN_MILLISECONDS = 1_000L
        const val HISTORY = 16
    }
}
