package toucanrelay.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import toucanrelay.platform.standin.CallerStandIn
import toucanrelay.platform.standin.ConfigurationDocumentBuilder
import toucanrelay.platform.standin.ReceivedResponse
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.platform.standin.StreamTakeUp
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn
import toucanrelay.platform.standin.configurationDocument

/** Gateways that know each other in front of the [targets] of one service, which all respond as one script says. */
internal class GatewayFleetFixture(
    targets: Int,
) {
    val vertx: Vertx = Vertx.vertx()
    val targets = List(targets) { TargetStandIn(vertx, "target-$it") }
    val store = StoreStandIn(vertx)
    private val caller = CallerStandIn(vertx.createHttpClient(HttpClientOptions().setKeepAlive(false)))
    private val running = mutableListOf<GatewayInstance>()

    /** Starts the store and the targets, and puts the configuration that [configure] adds to in force. */
    suspend fun start(script: TargetScript, configure: ConfigurationDocumentBuilder.() -> Unit) {
        store.start()
        targets.forEach { it.script = script }
        targets.forEach { it.start() }
        targets.forEach { register(it) }
        store.putConfiguration(
            configurationDocument(1) {
                configure()
                organisation("one", KEY)
            },
        )
    }

    /** Starts one more gateway and waits until it serves [path]. */
    suspend fun startGateway(path: String) {
        val gateway = GatewayInstance("gateway-${running.size}")
        gateway.start(store.address.toString())
        running += gateway
        withTimeout(TIMEOUT_MILLISECONDS) {
            while (send(running.lastIndex, path).status != STATUS_OK) delay(POLL_MILLISECONDS)
        }
    }

    /** Returns the port of the gateway with index [gateway]. */
    fun portOf(gateway: Int): Int = running[gateway].port

    /** Stops the gateway with index [gateway] at once. */
    suspend fun kill(gateway: Int) = running[gateway].kill()

    /** Stops all gateways at once; those that are started later get new indexes. */
    suspend fun killAll() = running.forEach { it.kill() }

    /** Stops all gateways at once and closes the stand-ins. */
    suspend fun stop() {
        running.forEach { it.kill() }
        vertx.close().coAwait()
    }

    /** Sends a request whose prompt has [parts] to the gateway with index [gateway]. */
    suspend fun send(
        gateway: Int,
        path: String,
        parts: List<String> = listOf("a1", "c3"),
        body: String = "body",
        takeUp: StreamTakeUp? = null,
        id: String = "id-${System.nanoTime()}",
    ): ReceivedResponse =
        withTimeout(TIMEOUT_MILLISECONDS) {
            caller
                .post(running[gateway].port, path, KEY, id, body, parts = parts, takeUp = takeUp)
                .coAwait()
        }

    /** Waits long enough for the gateways to tell each other what they know. */
    suspend fun awaitExchange() = delay(EXCHANGE_MILLISECONDS)

    /** Registers [target] in the store, as it does after each start. */
    fun register(target: TargetStandIn) = store.putRegistration(target.id, target.registration(SERVICE, "domain"))

    companion object {
        /** The service that the targets belong to. */
        const val SERVICE = "models"
        private const val STATUS_OK = 200
        private const val POLL_MILLISECONDS = 20L
        private const val EXCHANGE_MILLISECONDS = 700L
    }
}
