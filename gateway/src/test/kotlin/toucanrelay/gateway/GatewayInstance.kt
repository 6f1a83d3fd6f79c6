package toucanrelay.gateway

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import toucanrelay.core.time.Clock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.settings.Bounds
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.settings.SettingsFile
import toucanrelay.platform.standin.ReservedPorts
import java.nio.file.Path

internal const val LOOPBACK = "127.0.0.1"

/** Consecutive ports that a gateway needs for other members and its metrics. */
private const val MEMBER_PORTS = 3

/**
 * A gateway on free ports of the loopback interface, with an event loop of its own.
 *
 * @param mayRetry whether its retry budget allows any retry.
 * @param lagClock clock by which the gateway measures the lag of its event loop.
 */
internal class GatewayInstance(
    private val name: String,
    private val mayRetry: Boolean = true,
    private val lagClock: Clock = MonotonicClock,
) {
    private val vertx = Vertx.vertx(Gateway.singleEventLoop())
    val port = ReservedPorts.take()
    val readinessPort = ReservedPorts.take()
    val memberPorts = ReservedPorts.take(MEMBER_PORTS).let { listOf(it, it + MEMBER_PORTS - 1) }
    lateinit var gateway: Gateway

    /**
     * Starts the gateway.
     *
     * It ignores the lag of its event loop, which on a busy test machine would make it refuse requests. If [isOverloaded]
     * is set, it refuses all requests as if it lagged.
     */
    suspend fun start(
        storeAddress: String,
        revocationMilliseconds: Double = 5_000.0,
        settingsFile: Path = Path.of("/nowhere"),
        isOverloaded: Boolean = false,
    ) {
        val limit = if (isOverloaded) 0.0 else Double.POSITIVE_INFINITY
        val loopLag = LoopLag(lagClock, overloadThresholdMilliseconds = limit)
        val settings = settings(storeAddress, revocationMilliseconds)
        gateway = Gateway(settings, SettingsFile(settingsFile), vertx, loopLag = loopLag)
        gateway.recordWarm()
        gateway.start()
    }

    /** Stops the gateway at once. */
    suspend fun kill() {
        vertx.close().coAwait()
    }

    /** Returns the metrics page. */
    suspend fun metrics(): String =
        withContext(Dispatchers.IO) {
            RawCaller(memberPorts.first() + 1).use { caller ->
                caller.write("GET / HTTP/1.1\r\nHost: $LOOPBACK\r\n\r\n")
                caller.readResponse().body
            }
        }

    /** Keeps the event loop busy for [milliseconds]. */
    suspend fun occupyEventLoop(milliseconds: Long) {
        withContext(vertx.orCreateContext.dispatcher()) { Thread.sleep(milliseconds) }
    }

    fun settings(storeAddress: String, revocationMilliseconds: Double) =
        GatewaySettings(
            instance = name,
            failureDomain = "domain",
            regions = mapOf("domain" to "region"),
            address = LOOPBACK,
            callersAddress = "$LOOPBACK:$port",
            readinessAddress = "$LOOPBACK:$readinessPort",
            memberPorts = memberPorts,
            storeAddress = storeAddress,
            bounds =
                Bounds(
                    revocationMilliseconds,
                    shutdownSeconds = 4.0,
                    retryRatio = if (mayRetry) 0.2 else 0.0,
                    retryReserve = if (mayRetry) 50.0 else 0.0,
                    retryWindowSeconds = 10.0,
                ),
        )
}
