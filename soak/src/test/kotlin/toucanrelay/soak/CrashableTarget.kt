package toucanrelay.soak

import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import toucanrelay.platform.standin.ReservedPorts
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.platform.standin.TargetStandIn
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.LinkSettings
import java.util.concurrent.atomic.AtomicBoolean

/** A target behind a link, which refuses connections while the target is down after a crash. */
internal class CrashableTarget(
    val standIn: TargetStandIn,
    private val service: String,
    private val vertx: Vertx,
    private val store: StoreStandIn,
) {
    /** The link through which gateways reach the target once it is started. */
    lateinit var link: CuttableLink
        private set

    /** Number of the present run. */
    @Volatile
    var run = 1
        private set

    /** Whether the present run says in its answers that it is leaving. */
    @Volatile
    var isLeaving = false

    private val isDown = AtomicBoolean()
    private var linkPort = 0

    /** Starts the target and its link, and registers the target at the link's address. */
    suspend fun start() {
        standIn.start()
        link = CuttableLink(LinkSettings(standIn.port, port = ReservedPorts.take()), vertx)
        linkPort = link.start()
        register()
    }

    /** Crashes the target, unless it is down, and starts it again as a new run. */
    suspend fun crash() {
        if (!isDown.compareAndSet(false, true)) return
        link.cut()
        standIn.stop()
        delay(DOWN_MILLISECONDS)
        run++
        isLeaving = false
        standIn.start()
        link.restore()
        register()
        isDown.set(false)
    }

    private fun register() {
        val registration = standIn.registration(service, "domain", slots = SLOTS)
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
