package toucanrelay.daemon.fleet

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.tinylog.kotlin.Logger
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.platform.bundle.BundlePatch
import toucanrelay.platform.bundle.BundleVerifier
import toucanrelay.platform.bundle.SignedBundle
import toucanrelay.wire.BundleUpdate
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat
import java.util.Base64
import java.util.zip.GZIPInputStream

/** Keeps the highest bundle that was verified, whoever brought it. */
internal class StoreBundleRegister(
    private val verifier: BundleVerifier,
) : BundleRegister,
    BundleExchange {
    private val inForce = MutableStateFlow<Bundle?>(null)
    private var held: SignedBundle? = null

    override val current: StateFlow<Bundle?> = inForce

    /** Verifies [signed] and puts it in force if its version is higher than any seen. */
    @Synchronized
    fun offer(signed: SignedBundle) {
        if (signed.version.value <= heldVersion()) return
        verifier
            .verify(signed)
            .onSuccess {
                held = signed
                inForce.value = it
                Logger.info { "fleet: bundle ${it.version} is in force" }
            }.onFailure { error ->
                Logger.warn { "fleet: bundle ${signed.version} is not accepted: ${error.detail}" }
            }
    }

    @Synchronized
    override fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat =
        Heartbeat
            .newBuilder()
            .setSequence(sequence)
            .setAcknowledged(acknowledged)
            .setBundleVersion(heldVersion())
            .setBundleConfirmedAgoMilliseconds(-1)
            .build()

    @Synchronized
    override fun wanted(peer: Heartbeat): BundleWanted? {
        if (peer.bundleVersion <= heldVersion()) return null
        return BundleWanted.newBuilder().setHeldVersion(heldVersion()).build()
    }

    @Synchronized
    override fun update(request: BundleWanted): BundleUpdate? = held?.toUpdate()

    @Synchronized
    override fun accept(update: BundleUpdate) {
        val text = GZIPInputStream(update.document.newInput()).use { it.readBytes().decodeToString() }
        val document = BundlePatch.parsePatch(text).get() ?: return
        val signature = Base64.getEncoder().encodeToString(update.signature.toByteArray())
        val carried = SignedBundle(BundleVersion(update.version), document, signature, update.keyId)
        if (update.baseVersion == 0L) offer(carried)
    }

    private fun heldVersion(): Long = held?.version?.value ?: 0
}
