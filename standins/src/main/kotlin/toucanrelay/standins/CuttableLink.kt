package toucanrelay.standins

import io.vertx.core.Vertx
import io.vertx.core.net.NetClient
import io.vertx.core.net.NetClientOptions
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Addresses and bandwidth of a [CuttableLink].
 *
 * @property targetPort port of the target to forward to.
 * @property targetHost IP address of the target to forward to.
 * @property host IP address to listen on.
 * @property port port to listen on; 0 picks a free port.
 * @property bytesPerSecond bandwidth in each direction in bytes per second; 0 for no limit.
 */
public data class LinkSettings(
    public val targetPort: Int,
    public val targetHost: String = "127.0.0.1",
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val bytesPerSecond: Long = 0,
)

/**
 * TCP proxy for tests that can close, delay or silence the connections that it forwards.
 *
 * @param settings addresses and bandwidth.
 * @param vertx the Vert.x instance to run on; null creates one.
 */
public class CuttableLink(
    private val settings: LinkSettings,
    vertx: Vertx? = null,
) {
    private val deployment = StandInDeployment(vertx)
    private val connections = ConcurrentHashMap.newKeySet<ForwardedConnection>()
    private val forwardBytes = AtomicLong()
    private val backwardBytes = AtomicLong()
    private lateinit var scope: CoroutineScope
    private lateinit var activeVertx: Vertx
    private lateinit var client: NetClient
    private var server: NetServer? = null
    private var boundPort = 0

    @Volatile
    private var silencesNewConnections = false

    /** Delay added in each direction, in milliseconds. */
    @Volatile
    public var delayMilliseconds: Long = 0

    /** Number of bytes forwarded from clients to the target. */
    public val bytesToTarget: Long
        get() = forwardBytes.get()

    /** Number of bytes forwarded from the target to clients. */
    public val bytesToClients: Long
        get() = backwardBytes.get()

    /** Number of open connections. */
    public val openConnections: Int
        get() = connections.size

    /** Starts forwarding and returns the bound port. */
    public suspend fun start(): Int =
        deployment.start(
            StandInVerticle { verticle ->
                scope = verticle.scope
                activeVertx = verticle.vertx
                client = activeVertx.createNetClient(NetClientOptions().setTcpNoDelay(true))
                boundPort = settings.port
                listen()
                boundPort
            },
        )

    /** Stops forwarding. */
    public suspend fun stop() {
        deployment.stop()
    }

    /** Closes all connections and refuses new ones until [restore]. */
    public suspend fun cut(): Unit =
        onEventLoop {
            server?.close()?.coAwait()
            server = null
            connections.toList().forEach { it.close() }
        }

    /** Closes all connections; new ones are still accepted. */
    public suspend fun breakConnections(): Unit = onEventLoop { connections.toList().forEach { it.close() } }

    /** Permanently drops all traffic of the open connections without closing them; new connections work. */
    public fun silence() {
        connections.forEach { it.silence() }
    }

    /** Like [silence], and also silences connections opened before [restore] is called. */
    public fun silenceAll() {
        silencesNewConnections = true
        silence()
    }

    /** Accepts and forwards new connections again; silenced connections stay silent. */
    public suspend fun restore(): Unit =
        onEventLoop {
            silencesNewConnections = false
            if (server == null) listen()
        }

    private suspend fun onEventLoop(action: suspend () -> Unit) = withContext(scope.coroutineContext) { action() }

    private suspend fun listen() {
        val listening = activeVertx.createNetServer().connectHandler(::accept)
        server = listening
        boundPort = listening.listen(boundPort, settings.host).coAwait().actualPort()
    }

    private fun accept(inbound: NetSocket) {
        inbound.pause()
        client.connect(settings.targetPort, settings.targetHost).onComplete { connected ->
            if (connected.failed()) {
                inbound.close()
            } else {
                forward(inbound, connected.result())
            }
        }
    }

    private fun forward(inbound: NetSocket, outbound: NetSocket) {
        val connection = ForwardedConnection(inbound, outbound) { connections -= it }
        connections += connection
        if (silencesNewConnections) connection.silence()
        connection.run(
            TrafficShaper(activeVertx, { delayMilliseconds }, settings.bytesPerSecond, forwardBytes),
            TrafficShaper(activeVertx, { delayMilliseconds }, settings.bytesPerSecond, backwardBytes),
        )
        inbound.resume()
    }
}
