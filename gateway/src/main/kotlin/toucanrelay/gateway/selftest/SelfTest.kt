package toucanrelay.gateway.selftest

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.Gateway
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.settings.Bounds
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.settings.SettingsFile
import toucanrelay.platform.standin.CallerStandIn
import toucanrelay.platform.standin.PortBlock
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn
import toucanrelay.platform.standin.configurationDocument
import java.nio.file.Path
import java.util.UUID

/**
 * Runs a gateway against stand-ins on the loopback interface and checks that it serves calls and streams.
 *
 * The build also runs it to record the classes that serving needs in a class archive, from which processes start
 * faster. [WarmUp] runs it to have the code compiled.
 *
 * @param rounds maximum number of rounds; each one sends a call and a stream.
 * @param shouldContinue evaluated before each round; the test ends early if it returns false.
 */
internal class SelfTest(
    private val rounds: Int = ROUNDS,
    private val shouldContinue: suspend () -> Boolean = { true },
) {
    private val ports = PortBlock()
    private val vertx = Vertx.vertx()
    private val caller = CallerStandIn(vertx.createHttpClient())
    private var gateway: Gateway? = null
    private val store = StoreStandIn(vertx)
    private val target = TargetStandIn(vertx, "target-1")

    /** Runs the test; returns a description of the failure, or null if it passed. */
    suspend fun run(): String? =
        try {
            withTimeout(TIMEOUT_MILLISECONDS) { serveAll() }
        } catch (_: TimeoutCancellationException) {
            "did not finish within $TIMEOUT_MILLISECONDS ms"
        } finally {
            gateway?.close()
            vertx.close().coAwait()
            ports.close()
        }

    private suspend fun serveAll(): String? {
        store.start()
        target.start()
        target.script =
            TargetScript { request, received, standIn ->
                if (received.path.startsWith(STREAMS)) {
                    standIn.respondWithStream(request, received, 1, STREAM_EVENTS)
                } else {
                    standIn.respond(request, received, "ok")
                }
            }
        store.putConfiguration(configuration())
        store.putRegistration(target.id, target.registration("service", "domain"))
        val port = ports.take()
        val started =
            Gateway(settings(port), SettingsFile(Path.of("")), log = EventLog(MonotonicClock, isWritten = false))
        gateway = started
        started.start()
        repeat(rounds) {
            if (!shouldContinue()) return null
            val problem = awaitServed(port, CALLS) ?: awaitServed(port, STREAMS)
            if (problem != null) return problem
        }
        return null
    }

    private suspend fun awaitServed(port: Int, path: String): String? {
        var last = ""
        repeat(ATTEMPTS) {
            last = send(port, path)
            if (last.startsWith("200")) return null
            delay(RETRY_DELAY_MILLISECONDS)
        }
        return "last response to $path: $last"
    }

    private suspend fun send(port: Int, path: String): String {
        val answer = caller.post(port, path + "x", KEY, id = UUID.randomUUID().toString()).coAwait()
        return "${answer.status} ${answer.body}"
    }

    private fun configuration() =
        configurationDocument(1) {
            route(CALLS, "service", "idempotent")
            route(STREAMS, "service", "streaming", isResumable = true)
            service("service", engineMemoryTokens = ENGINE_MEMORY_TOKENS)
            organisation("organisation", KEY)
        }

    private fun settings(port: Int) =
        GatewaySettings(
            instance = "self-test",
            failureDomain = "domain",
            regions = mapOf("domain" to "region"),
            address = LOOPBACK,
            callersAddress = "$LOOPBACK:$port",
            readinessAddress = "$LOOPBACK:${ports.take()}",
            memberPorts = ports.take(MEMBER_PORTS).let { listOf(it, it + MEMBER_PORTS - 1) },
            storeAddress = store.address.toString(),
            bounds =
                Bounds(
                    revocationMilliseconds = 5_000.0,
                    shutdownSeconds = 8.0,
                    retryRatio = 0.2,
                    retryReserve = 50.0,
                    retryWindowSeconds = 10.0,
                ),
        )

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val CALLS = "/calls/"
        const val STREAMS = "/streams/"
        const val KEY = "key-1"
        const val ROUNDS = 20
        const val STREAM_EVENTS = 10
        const val TIMEOUT_MILLISECONDS = 30_000L
        const val ATTEMPTS = 50
        const val RETRY_DELAY_MILLISECONDS = 100L
        const val ENGINE_MEMORY_TOKENS = 100_000L
        const val MEMBER_PORTS = 3
    }
}
