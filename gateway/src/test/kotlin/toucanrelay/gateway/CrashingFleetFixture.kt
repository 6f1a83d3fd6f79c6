package toucanrelay.gateway

import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import toucanrelay.platform.standin.ReceivedRequest
import toucanrelay.platform.standin.ReceivedResponse
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn
import java.util.concurrent.atomic.AtomicInteger

private const val DOWN_MILLISECONDS = 300L

/** A part of a prompt on which each target of [CrashingFleetFixture] crashes as it begins to write an answer. */
internal const val CRASHING_PART = "bad0"

/** The body of a request on which each target of [CrashingFleetFixture] crashes, whatever its prompt is. */
internal const val CRASHING_BODY = "bad body"

/**
 * Gateways that know each other, and targets that crash on [CRASHING_PART] or [CRASHING_BODY] and start again shortly
 * after.
 */
internal class CrashingFleetFixture(
    private val isModelService: Boolean = true,
) {
    private val fleet = GatewayFleetFixture(TARGETS)
    private val scope = CoroutineScope(fleet.vertx.dispatcher())
    private val crashCount = AtomicInteger()
    private var requests = 0

    /** Number of crashes so far. */
    val crashes: Int
        get() = crashCount.get()

    /** Starts the store, the targets and [gateways] gateways. */
    suspend fun start(gateways: Int) {
        fleet.start(TargetScript(::answer)) {
            route("/streams/", GatewayFleetFixture.SERVICE, "streaming", isResumable = true)
            route("/chats/", GatewayFleetFixture.SERVICE, "streaming", isResumable = false)
            route("/calls/", GatewayFleetFixture.SERVICE, "idempotent")
            service(GatewayFleetFixture.SERVICE, engineMemoryTokens = if (isModelService) 100_000 else null)
        }
        repeat(gateways) { startGateway() }
    }

    /** Starts one more gateway and waits until it serves. */
    suspend fun startGateway() = fleet.startGateway("/calls/x")

    suspend fun stop() = fleet.stop()

    /** Sends a request with [parts] to the gateway with index [gateway]; each request's last part is its own. */
    suspend fun send(gateway: Int, vararg parts: String, path: String = "/streams/x"): ReceivedResponse =
        fleet.send(gateway, path, parts.toList() + "e${requests++}")

    /** Sends a request with [body] to [path]; its prompt has the same parts as that of any other such request. */
    suspend fun sendBody(gateway: Int, path: String, body: String): ReceivedResponse =
        fleet.send(gateway, path, listOf("a1", "c3"), body)

    /** Waits long enough for the gateways to tell each other what they know. */
    suspend fun awaitExchange() = fleet.awaitExchange()

    /** Makes each target close the connections of requests with [part] without an answer, and go on serving. */
    fun loseAnswersTo(part: String) {
        fleet.targets.forEach { target ->
            target.script =
                TargetScript { request, received, standIn ->
                    if (part in partsOf(received)) request.connection().close() else answer(request, received, standIn)
                }
        }
    }

    private fun answer(request: HttpServerRequest, received: ReceivedRequest, target: TargetStandIn) {
        if (CRASHING_PART !in partsOf(received) && received.body != CRASHING_BODY) {
            return target.respondWithStream(request, received, 1, LAST_EVENT)
        }
        crashCount.incrementAndGet()
        // The head of the answer is out before the target crashes.
        target.beginStream(request, received).writeHead().onComplete { scope.launch { restart(target) } }
    }

    private suspend fun restart(target: TargetStandIn) {
        target.stop()
        delay(DOWN_MILLISECONDS)
        target.start()
        fleet.register(target)
    }

    private fun partsOf(received: ReceivedRequest) =
        received.headers["x-prompt-prefix"]
            .orEmpty()
            .split(',')
            .map { it.substringBefore(':') }

    private companion object {
        const val TARGETS = 6
        const val LAST_EVENT = 4
    }
}
