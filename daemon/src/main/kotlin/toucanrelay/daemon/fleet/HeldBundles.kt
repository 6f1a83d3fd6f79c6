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
 * Holds the latest bundle and a history of earlier versions.
 *
 * Accepts higher versions from the table service, peers and operators, distributes them to peers, and puts the latest
 * in force while it is confirmed.
 */
internal class HeldBundles(
    private val clock: Clock,
    private val verifier: BundleVerifier,
    meters: MeterRegistry,
    settings: VersionGateSettings = VersionGateSettings(),
) : BundleRegister,
    BundleExchange {
    private val lock = Any()
    private val gate = VersionGate(clock, settings)
    private val history = LinkedHashMap<BundleVersion, SignedBundle>()
    private val cachedUpdates = ConcurrentHashMap<VersionChange, BundleUpdate>()
    private val inForce = MutableStateFlow<Bundle?>(null)
    private val heldVersion = MutableStateFlow(0L)
    private var held: Bundle? = null
    private var isReady = false
    private var requestedVersion = 0L
    private var requestedAtMilliseconds = 0L
    private val accepted = meters.counter("toucanrelay.fleet.bundle.taken")
    private val rejected = meters.counter("toucanrelay.fleet.bundle.refused")

    init {
        meters.gauge("toucanrelay.fleet.bundle.version", heldVersion) { it.value.toDouble() }
        meters.gauge("toucanrelay.fleet.bundle.in.force", inForce) {
            it.value
                ?.version
                ?.value
                ?.toDouble() ?: 0.0
        }
    }

    override val current: StateFlow<Bundle?> = CheckedStateFlow(inForce.asStateFlow()) { detectPause() }

    /** The held version, confirmed or not; zero when no bundle is held. */
    val version: StateFlow<Long> = heldVersion.asStateFlow()

    /** Returns the share of [organisation] in the held bundle, in force or not. */
    fun shareOf(organisation: OrganisationId): Double? =
        synchronized(lock) { held?.organisations?.get(organisation)?.share }

    /** Returns the number of targets in the held bundle, in force or not. */
    fun targetCount(): Int = synchronized(lock) { held?.targets?.size ?: 0 }

    /**
     * Returns the time since the held bundle was confirmed by a read of the table service; null when unconfirmed.
     *
     * The read may be by another process whose confirmation peers passed on.
     */
    fun confirmedAgoMilliseconds(): Long? = synchronized(lock) { gate.confirmedAgoMilliseconds }

    /** Marks the process as ready, which it must be before a bundle comes into force. */
    fun markReady() {
        synchronized(lock) {
            isReady = true
            publish()
        }
    }

    /** Detects a pause of the process, after which no bundle is in force until it is confirmed again. */
    fun detectPause() {
        synchronized(lock) {
            gate.detectPause()
            publish()
        }
    }

    /** Accepts and confirms [signed], which was read from the table service. */
    fun acceptFromTable(signed: SignedBundle) {
        verifyAndHold(signed).onSuccess {
            synchronized(lock) {
                gate.confirmByTable(signed.version)
                publish()
            }
        }
    }

    /** Accepts [signed], which an operator sent to this process; it comes into force only with a confirmation. */
    fun acceptFromOperator(signed: SignedBundle): Result<Bundle, BundleError> = verifyAndHold(signed)

    override fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat =
        synchronized(lock) {
            Heartbeat
                .newBuilder()
                .setSequence(sequence)
                .setAcknowledged(acknowledged)
                .setBundleVersion(heldVersion.value)
                .setBundleConfirmedAgoMilliseconds(gate.confirmedAgoMilliseconds ?: UNCONFIRMED_MILLISECONDS)
                .build()
        }

    override fun receiveHeartbeat(heartbeat: Heartbeat): BundleWanted? =
        synchronized(lock) {
            if (heartbeat.bundleVersion <= 0) return null
            val ago = heartbeat.bundleConfirmedAgoMilliseconds.takeIf { it >= 0 }
            gate.confirmByPeer(BundleVersion(heartbeat.bundleVersion), ago)
            publish()
            if (shouldRequest(heartbeat.bundleVersion)) createRequest(heartbeat.bundleVersion) else null
        }

    override fun updateFor(request: BundleWanted): BundleUpdate? {
        val latest = synchronized(lock) { gate.held?.let { history[it] } } ?: return null
        val base =
            synchronized(lock) { history[BundleVersion(request.heldVersion)] }?.takeIf {
                it.version <
                    latest.version
            }
        return cachedUpdates.computeIfAbsent(VersionChange(base?.version, latest.version)) {
            if (base == null) BundleCodec.whole(latest) else BundleCodec.patch(base, latest)
        }
    }

    override fun receiveUpdate(update: BundleUpdate) {
        if (update.version <= heldVersion.value) return
        BundleCodec
            .read(update) { base -> synchronized(lock) { history[base] } }
            .onFailure { recordRejection(update.version, it.detail) }
            .onSuccess { verifyAndHold(it) }
    }

    // Several peers announce a new version at about the same time; only one of them is sent a request. It is repeated
    // if the version does not arrive in time.
    private fun shouldRequest(version: Long): Boolean {
        if (version <= heldVersion.value) return false
        return version > requestedVersion ||
            clock.nowMilliseconds() - requestedAtMilliseconds >= REQUEST_RETRY_MILLISECONDS
    }

    private fun createRequest(version: Long): BundleWanted {
        requestedVersion = version
        requestedAtMilliseconds = clock.nowMilliseconds()
        return BundleWanted.newBuilder().setHeldVersion(heldVersion.value).build()
    }

    // Verifying the signature of a large document is slow, so it is done outside the lock.
    private fun verifyAndHold(signed: SignedBundle): Result<Bundle, BundleError> {
        alreadyHeld(signed)?.let { return Ok(it) }
        return verifier
            .verify(signed)
            .onFailure { recordRejection(signed.version.value, it.detail) }
            .onSuccess { bundle ->
                synchronized(lock) {
                    if (gate.offer(signed.version) == VersionOutcome.TAKEN) hold(signed, bundle)
                    publish()
                }
            }
    }

    private fun alreadyHeld(signed: SignedBundle): Bundle? =
        synchronized(lock) {
            held?.takeIf { it.version == signed.version && history[signed.version]?.signature == signed.signature }
        }

    private fun hold(signed: SignedBundle, bundle: Bundle) {
        held = bundle
        heldVersion.value = signed.version.value
        history[signed.version] = signed
        if (history.size > MAX_HISTORY_VERSIONS) history.remove(history.keys.first())
        cachedUpdates.clear()
        accepted.increment()
        Logger.info { "fleet: bundle version ${signed.version} is held" }
    }

    private fun recordRejection(version: Long, detail: String) {
        rejected.increment()
        Logger.warn { "fleet: rejected bundle version $version: $detail" }
    }

    private fun publish() {
        val previous = inForce.value
        inForce.value = held.takeIf { isReady && gate.isInForce }
        if (previous != null && inForce.value == null) Logger.warn { "fleet: bundle unconfirmed after a pause" }
    }

    /** Key of a cached update to version [to]; [from] is the base of a patch, null for a whole bundle. */
    private data class VersionChange(
        val from: BundleVersion?,
        val to: BundleVersion,
    )

    private companion object {
        const val UNCONFIRMED_MILLISECONDS = -1L
        const val REQUEST_RETRY_MILLISECONDS = 1_000L
        const val MAX_HISTORY_VERSIONS = 16
    }
}
