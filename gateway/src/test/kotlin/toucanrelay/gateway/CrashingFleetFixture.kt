package toucanrelay.gateway

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import toucanrelay.platform.standin.CallerStandIn
import toucanrelay.platform.standin.ReceivedRequest
import toucanrelay.platform.standin.ReceivedResponse
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn
import toucanrelay.platform.standin.configurationDocument
import java.util.concurrent.atomic.AtomicInteger

private const val DOWN_MILLISECONDS = 300L

/** A part of a prompt on which each target of [CrashingFleetFixture] crashes as it begins to write an answer. */
internal const val CRASHING_PART = "bad0"

/** Gateways that know each other, and targets that crash on [CRASHING_PART] and start again shortly after. */
internal class CrashingFleetFixture {
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(vertx.dispatcher())
    private val store = StoreStandIn(vertx)
    private val targets = List(TARGETS) { TargetStandIn(vertx, "target-$it") }
    private val caller = CallerStandIn(vertx.createHttpClient(HttpClientOptions().setKeepAlive(false)))
    private val running = mutableListOf<GatewayInstance>()
    private val crashCount = AtomicInteger()
    private var requests = 0

    /** Number of crashes so far. */
    val crashes: Int
        get() = crashCount.get()

    /** Starts the store, the targets and [gateways] gateways. */
    suspend fun start(gateways: Int) {
        store.start()
        targets.forEach { it.start() }
        targets.forEach { it.script = TargetScript(::answer) }
        targets.forEach { register(it) }
        store.putConfiguration(
            configurationDocument(1) {
                route("/streams/", "models", "streaming", isResumable = true)
                route("/chats/", "models", "streaming", isResumable = false)
                service("models", engineMemoryTokens = 100_000)
                organisation("one", KEY)
            },
        )
        repeat(gateways) { startGateway() }
    }

    /** Starts one more gateway and waits until it serves. */
    suspend fun startGateway() {
        val gateway = GatewayInstance("gateway-${running.size}")
        gateway.start(store.address.toString())
        running += gateway
        withTimeout(TIMEOUT_MILLISECONDS) {
            while (post(running.lastIndex, listOf("a1", "c3")).status != STATUS_OK) delay(POLL_MILLISECONDS)
        }
    }

    suspend fun stop() {
        running.forEach { it.kill() }
        vertx.close().coAwait()
    }

    /** Sends a request with [parts] to the gateway with index [gateway]; each request's last part is its own. */
    suspend fun send(gateway: Int, vararg parts: String, path: String = "/streams/x"): ReceivedResponse =
        post(gateway, parts.toList() + "e${requests++}", path)

    /** Waits long enough for the gateways to tell each other what they know. */
    suspend fun awaitExchange() = delay(EXCHANGE_MILLISECONDS)

    /** Makes each target close the connections of requests with [part] without an answer, and go on serving. */
    fun loseAnswersTo(part: String) {
        targets.forEach { target ->
            target.script =
                TargetScript { request, received, standIn ->
                    if (part in partsOf(received)) request.connection().close() else answer(request, received, standIn)
                }
        }
    }

    private suspend fun post(gateway: Int, parts: List<String>, path: String = "/streams/x"): ReceivedResponse =
        withTimeout(TIMEOUT_MILLISECONDS) {
            caller.post(running[gateway].port, path, KEY, "id-${System.nanoTime()}", parts = parts).coAwait()
        }

    private fun answer(request: HttpServerRequest, received: ReceivedRequest, target: TargetStandIn) {
        if (CRASHING_PART !in partsOf(received)) return target.respondWithStream(request, received, 1, LAST_EVENT)
        crashCount.incrementAndGet()
        // The head of the answer is out before the target crashes.
        target.beginStream(request, received).writeHead().onComplete { scope.launch { restart(target) } }
    }

    private suspend fun restart(target: TargetStandIn) {
        target.stop()
        delay(DOWN_MILLISECONDS)
        target.start()
        register(target)
    }

    private fun register(target: TargetStandIn) =
        store.putRegistration(target.id, target.registration("models", "domain"))

    private fun partsOf(received: ReceivedRequest) =
        received.headers["x-prompt-prefix"]
            .orEmpty()
            .split(',')
            .map { it.substringBefore(':') }

    private companion object {
        const val TARGETS = 6
        const val LAST_EVENT = 4
        const val STATUS_OK = 200
        const val POLL_MILLISECONDS = 20L
        const val EXCHANGE_MILLISECONDS = 700L
    }
}
