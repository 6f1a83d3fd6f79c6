package toucanrelay.soak

import kotlinx.coroutines.delay
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.platform.standin.TargetStandIn
import toucanrelay.standins.CuttableLink
import java.util.concurrent.atomic.AtomicBoolean

/** A target behind a link, which refuses connections while the target is down after a crash. */
internal class CrashableTarget(
    val standIn: TargetStandIn,
    val link: CuttableLink,
    private val store: StoreStandIn,
) {
    private val isDown = AtomicBoolean()
    private var linkPort = 0

    /** Starts the link and registers the target at its address. */
    suspend fun start() {
        linkPort = link.start()
        register()
    }

    /** Crashes the target, unless it is down, and starts it again as a new run. */
    suspend fun crash() {
        if (!isDown.compareAndSet(false, true)) return
        link.cut()
        standIn.stop()
        delay(DOWN_MILLISECONDS)
        standIn.start()
        link.restore()
        register()
        isDown.set(false)
    }

    private fun register() {
        val registration = standIn.registration("service", "domain", slots = SLOTS)
        store.putRegistration(
            standIn.id,
            registration.replace("$LOOPBACK:${standIn.port}", "$LOOPBACK:$linkPort"),
        )
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val DOWN_MILLISECONDS = 700L
        const val SLOTS = 32
    }
}
