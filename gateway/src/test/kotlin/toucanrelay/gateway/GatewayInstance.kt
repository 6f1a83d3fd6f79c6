package toucanrelay.gateway

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.settings.Bounds
import toucanrelay.gateway.settings.GatewaySettings
import java.net.DatagramSocket
import java.net.ServerSocket
import java.net.SocketException
import java.nio.file.Path

internal const val LOOPBACK = "127.0.0.1"

/** A gateway on free ports of the loopback interface, with an event loop of its own. */
internal class GatewayInstance(
    private val name: String,
) {
    private val vertx = Vertx.vertx(Gateway.singleEventLoop())
    val port = freePort()
    val readinessPort = freePort()
    val memberPorts = freeMemberPort().let { listOf(it, it + 2) }
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
        val loopLag = LoopLag(MonotonicClock, overloadThresholdMilliseconds = limit)
        val settings = settings(storeAddress, revocationMilliseconds)
        gateway = Gateway(settings, settingsFile, vertx, loopLag = loopLag)
        gateway.recordWarm()
        gateway.start()
    }

    /** Finishes the gateway's active requests and stops it. */
    suspend fun stop() {
        gateway.stop()
        vertx.close().coAwait()
    }

    /** Stops the gateway at once. */
    suspend fun kill() {
        vertx.close().coAwait()
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
                    retryRatio = 0.2,
                    retryReserve = 50.0,
                    retryWindowSeconds = 10.0,
                ),
        )

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    /** Returns a port that is free for datagrams and followed by two ports that are free for connections. */
    private fun freeMemberPort(): Int = generateSequence { freePort() }.first { isFreeForMember(it) }

    private fun isFreeForMember(port: Int): Boolean =
        try {
            DatagramSocket(port).close()
            ServerSocket(port + 1).close()
            ServerSocket(port + 2).close()
            true
        } catch (_: SocketException) {
            false
        }
}
