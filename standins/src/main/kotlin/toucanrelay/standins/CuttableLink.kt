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
 * Where a [CuttableLink] listens and what it leads to.
 *
 * @property targetPort port that it forwards to.
 * @property targetHost IP number that it forwards to.
 * @property host IP number to listen on.
 * @property port port to listen on; 0 for any free one.
 * @property bytesPerSecond bytes that pass in a second each way; 0 for no limit.
 */
public data class LinkSettings(
    public val targetPort: Int,
    public val targetHost: String = "127.0.0.1",
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val bytesPerSecond: Long = 0,
)

/**
 * Forwards TCP connections, and can cut them, delay them or make them silent.
 *
 * @param settings where it listens and what it leads to.
 * @param vertx the Vert.x to run on; null for one of its own.
 */
public class CuttableLink(
    private val settings: LinkSettings,
    vertx: Vertx? = null,
) {
    private val deployment = StandInDeployment(vertx)
    private val connections = ConcurrentHashMap.newKeySet<ForwardedConnection>()
    private val forward = AtomicLong()
    private val backward = AtomicLong()
    private lateinit var scope: CoroutineScope
    private lateinit var host: Vertx
    private lateinit var client: NetClient
    private var server: NetServer? = null
    private var boundPort = 0

    @Volatile
    private var silencesNew = false

    /** Time that the link adds each way, in milliseconds. */
    @Volatile
    public var delayMilliseconds: Long = 0

    /** Bytes that went from clients to the target. */
    public val bytesToTarget: Long
        get() = forward.get()

    /** Bytes that went from the target to clients. */
    public val bytesToClients: Long
        get() = backward.get()

    /** Connections that are open. */
    public val openConnections: Int
        get() = connections.size

    /** Starts forwarding and returns the bound port. */
    public suspend fun start(): Int =
        deployment.start(
            StandInVerticle { verticle ->
                scope = verticle.scope
                host = verticle.vertx
                client = host.createNetClient(NetClientOptions().setTcpNoDelay(true))
                boundPort = settings.port
                listen()
                boundPort
            },
        )

    /** Stops forwarding. */
    public suspend fun stop() {
        deployment.stop()
    }

    /** Closes all connections and refuses new ones. */
    public suspend fun cut(): Unit =
        onEventLoop {
            server?.close()?.coAwait()
            server = null
            connections.toList().forEach { it.close() }
        }

    /** Closes all connections; new ones work at once. */
    public suspend fun breakConnections(): Unit = onEventLoop { connections.toList().forEach { it.close() } }

    /** Makes the open connections silent for good, both ways, without closing them; new ones work. */
    public fun silence() {
        connections.forEach { it.silence() }
    }

    /** Makes the open connections silent for good, and also new ones until [restore]. */
    public fun silenceAll() {
        silencesNew = true
        silence()
    }

    /** Lets new connections work again; connections that were made silent stay so. */
    public suspend fun restore(): Unit =
        onEventLoop {
            silencesNew = false
            if (server == null) listen()
        }

    private suspend fun onEventLoop(action: suspend () -> Unit) = withContext(scope.coroutineContext) { action() }

    private suspend fun listen() {
        val listening = host.createNetServer().connectHandler(::accept)
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
        if (silencesNew) connection.silence()
        connection.run(
            OneWay(host, { delayMilliseconds }, settings.bytesPerSecond, forward),
            OneWay(host, { delayMilliseconds }, settings.bytesPerSecond, backward),
        )
        inbound.resume()
    }
}
