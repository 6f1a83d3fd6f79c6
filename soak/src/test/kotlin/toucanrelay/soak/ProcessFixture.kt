package toucanrelay.soak

import io.kotest.assertions.fail
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.platform.standin.TargetStandIn
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.URI

private const val KEY = "key-1"
private const val REVOCATION_MILLISECONDS = 5_000L
private const val TIMEOUT_MILLISECONDS = 20_000L
private const val CHECK_MILLISECONDS = 5L
private const val STATUS_OK = 200

/** A gateway as a process of its own, with a store and a target to serve from. */
internal class ProcessFixture(
    name: String,
) {
    private val vertx = Vertx.vertx()
    private val store = StoreStandIn(vertx)
    private val target = TargetStandIn(vertx, "target-1")
    private val ports = GatewayPorts.free(1).single()

    /** Settings with which the gateway becomes ready. */
    lateinit var settings: GatewaySettings

    /** Settings with which the gateway takes each configuration for too old and never becomes ready. */
    val unusableSettings: GatewaySettings
        get() = settings.copy(bounds = settings.bounds.copy(revocationMilliseconds = 0.0))

    /** The process, which is not started yet. */
    val process: GatewayProcess by lazy { GatewayProcess(settings, GatewayProcess.directoryOf(name)) }

    /** Starts the store and the target. */
    suspend fun start() {
        store.start()
        target.start()
        SoakConfiguration(store, listOf(KEY)).put(ConfigurationChange.NONE)
        store.putRegistration(target.id, target.registration(SoakConfiguration.SERVICE, "domain"))
        settings = ports.settings("gateway", store.address.port, REVOCATION_MILLISECONDS)
    }

    /** Ends the process and the stand-ins. */
    suspend fun stop() {
        process.kill()
        vertx.close().coAwait()
    }

    /** Waits until the process is ready, and calls [meanwhile] before each look. */
    suspend fun awaitReady(meanwhile: () -> Unit = {}) =
        await("is not ready") {
            meanwhile()
            isReady()
        }

    /** Waits until the process has written that it starts to serve. */
    suspend fun awaitStartLine() = await("has not written that it starts") { "\"start\"" in process.output }

    /** Waits until the process accepts callers, and returns the connection of one. */
    suspend fun awaitCaller(): Socket {
        var caller: Socket? = null
        await("does not accept callers") {
            caller = connect()
            caller != null
        }
        return checkNotNull(caller)
    }

    private fun connect(): Socket? =
        try {
            Socket(LOOPBACK, ports.callers)
        } catch (_: IOException) {
            null
        }

    /** Runs [action] while the port that the process needs for its readiness is in use. */
    fun withReadinessPortInUse(action: () -> Unit) =
        ServerSocket().use { socket ->
            socket.bind(InetSocketAddress(LOOPBACK, ports.readiness))
            action()
        }

    private suspend fun await(problem: String, condition: () -> Boolean) {
        val isMet =
            withTimeoutOrNull(TIMEOUT_MILLISECONDS) {
                while (process.exitCode == null && !condition()) delay(CHECK_MILLISECONDS)
                process.exitCode == null
            }
        if (isMet != true) fail("the process $problem; exit code ${process.exitCode}, output: ${process.output}")
    }

    private fun isReady(): Boolean =
        try {
            val url = URI("http://$LOOPBACK:${ports.readiness}/").toURL()
            (url.openConnection() as HttpURLConnection).responseCode == STATUS_OK
        } catch (_: IOException) {
            false
        }
}
