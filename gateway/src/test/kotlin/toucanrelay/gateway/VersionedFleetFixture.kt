package toucanrelay.gateway

import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import toucanrelay.platform.standin.ReceivedRequest
import toucanrelay.platform.standin.ReceivedResponse
import toucanrelay.platform.standin.StoreBehaviour
import toucanrelay.platform.standin.StreamTakeUp
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn

/** A stream of which a caller has received the events up to [lastEventId]. */
internal class BrokenStream(
    val requestId: String,
    val lastEventId: Int,
    val versions: Set<String>,
)

/**
 * Gateways in front of targets that run several versions of their software and write it into each event.
 *
 * A target cuts each new stream off after [EVENTS_BEFORE_BREAK] events, and completes one that goes on.
 *
 * @param versions the version of each target.
 * @param joining version of the targets that are registered only by [join].
 */
internal class VersionedFleetFixture(
    private val versions: List<String>,
    private val joining: String? = null,
) {
    private val fleet = GatewayFleetFixture(versions.size)

    /** The targets, in the order of the versions. */
    val targets: List<TargetStandIn>
        get() = fleet.targets

    /** Starts the stand-ins and [gateways] gateways. */
    suspend fun start(gateways: Int = 1) {
        fleet.targets.zip(versions).forEach { (target, version) -> target.version = version }
        fleet.start(TargetScript { request, received, target -> respond(request, received, target) }) {
            maxHeaderBytes = MAX_HEADER_BYTES
            route("/streams/", GatewayFleetFixture.SERVICE, "streaming", isResumable = true)
            route("/once/", GatewayFleetFixture.SERVICE, "streaming", isResumable = true, attempts = 1)
            route("/calls/", GatewayFleetFixture.SERVICE, "idempotent")
            service(GatewayFleetFixture.SERVICE, engineMemoryTokens = ENGINE_MEMORY_TOKENS)
        }
        joining?.let { withdraw(it) }
        repeat(gateways) { startGateway() }
        if (versions.distinct().size > 1) delay(SETTLED_MILLISECONDS)
        forgetReceived()
    }

    /** Starts one more gateway. */
    suspend fun startGateway() = fleet.startGateway("/calls/x")

    /** Stops the gateway with index [gateway] at once. */
    suspend fun killGateway(gateway: Int) = fleet.kill(gateway)

    /** Stops all gateways at once. */
    suspend fun killAllGateways() = fleet.killAll()

    /** Waits until the gateways have told each other what they know. */
    suspend fun awaitExchange() = fleet.awaitExchange()

    /** Waits until the gateways have written to the store what they know. */
    suspend fun awaitStored() = delay(STORED_MILLISECONDS)

    /** Removes the registrations of all targets of [version], which go on serving. */
    fun withdraw(version: String) {
        targets.filter { it.version == version }.forEach { fleet.store.putRegistration(it.id, null) }
    }

    /** Registers all targets of [version]. */
    fun join(version: String) = targets.filter { it.version == version }.forEach { fleet.register(it) }

    /** Makes the store refuse all calls, or serve them again. */
    fun setStoreAway(isAway: Boolean) {
        fleet.store.behaviour = if (isAway) StoreBehaviour.REFUSE else StoreBehaviour.SERVE
    }

    /** Sends a request for a stream that may be continued within its answer; returns the answer as it arrived. */
    suspend fun stream(gateway: Int = 0): RawStream =
        withContext(Dispatchers.IO) { RawStreamCaller.send(fleet.portOf(gateway), "/streams/x") }

    /** Begins a stream that breaks off, and which only its caller can take up again. */
    suspend fun breakStream(gateway: Int = 0): BrokenStream {
        val id = "broken-${System.nanoTime()}"
        val answer = withContext(Dispatchers.IO) { RawStreamCaller.send(fleet.portOf(gateway), "/once/x", id) }
        return BrokenStream(id, EVENTS_BEFORE_BREAK, versionsIn(answer.body))
    }

    /** Begins streams until one of each version has broken off, and returns one of each. */
    suspend fun breakOneOfEach(gateway: Int = 0): List<BrokenStream> {
        val byVersion = HashMap<Set<String>, BrokenStream>()
        while (byVersion.size <
            versions.distinct().size
        ) {
            breakStream(gateway).let { byVersion.putIfAbsent(it.versions, it) }
        }
        return byVersion.values.toList()
    }

    /** Takes [stream] up again after its event [lastEventId]. */
    suspend fun takeUp(
        stream: BrokenStream,
        gateway: Int = 0,
        lastEventId: Int = stream.lastEventId,
    ): ReceivedResponse = fleet.send(gateway, "/once/x", takeUp = StreamTakeUp(lastEventId, stream.requestId))

    /** Sends a request whose prompt has [parts] to the gateway with index [gateway]. */
    suspend fun call(parts: List<String>, gateway: Int = 0): ReceivedResponse = fleet.send(gateway, "/calls/x", parts)

    /** Forgets the requests that the targets have received. */
    fun forgetReceived() = targets.forEach { it.receivedRequests.clear() }

    suspend fun stop() = fleet.stop()

    private fun respond(request: HttpServerRequest, received: ReceivedRequest, target: TargetStandIn) {
        if (received.path == "/calls/x") return target.respond(request, received, "whole")
        val last = received.headers["last-event-id"]?.toInt() ?: 0
        val end = if (last == 0) EVENTS_BEFORE_BREAK else EVENTS
        val response = target.beginStream(request, received)
        (last + 1..end).forEach { response.write("id: $it\ndata: ${target.version}\n\n") }
        if (end == EVENTS) response.end() else response.write("id").onComplete { request.connection().close() }
    }

    companion object {
        const val EVENTS_BEFORE_BREAK = 3
        const val EVENTS = 6

        /** Time after which each of several versions begins streams. */
        private const val SETTLED_MILLISECONDS = 2_700L
        private const val STORED_MILLISECONDS = 2_500L
        private const val MAX_HEADER_BYTES = 32_768
        private const val ENGINE_MEMORY_TOKENS = 100_000L
        private val DATA = Regex("data: (\\S+)")

        /** Returns the versions that wrote the events of [body]. */
        fun versionsIn(body: String): Set<String> = DATA.findAll(body).map { it.groupValues[1] }.toSet()
    }
}
