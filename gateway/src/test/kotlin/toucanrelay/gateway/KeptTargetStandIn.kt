package toucanrelay.gateway

import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList

private val CONTENT_LENGTH = Regex("(?i)content-length: *(\\d+)")
private val REQUEST_ID = Regex("(?i)x-request-id: *(\\S+)")
private val LAST_EVENT_ID = Regex("(?i)last-event-id: *(\\d+)")

/** Path of the requests that show whether targets are used: they refuse them, so one is sent to all of them. */
private const val PROBE_PATH = "/calls/probe"

/**
 * A request that [KeptTargetStandIn] received.
 *
 * @property earlierIds ids of the requests that came before it on its connection.
 */
internal class KeptExchange(
    val headers: String,
    val earlierIds: List<String>,
    private val socket: Socket,
) {
    val id: String = checkNotNull(REQUEST_ID.find(headers)) { "request without an id: $headers" }.groupValues[1]

    /** The event after which the request resumes a stream; null for a stream from its start. */
    val lastEventId: Int? =
        LAST_EVENT_ID
            .find(headers)
            ?.groupValues
            ?.get(1)
            ?.toInt()

    /** Writes [text] as it is, in one piece. */
    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    /** Gives what was written before the time to arrive, so that what is written next arrives by itself. */
    fun pause() = Thread.sleep(PAUSE_MILLISECONDS)

    /** Closes the connection in order once what was written has arrived. */
    fun close() {
        pause()
        socket.close()
    }

    /** Closes the connection in order, right behind what was written. */
    fun closeAtOnce() = socket.close()

    /** Resets the connection once what was written has arrived. */
    fun reset() {
        pause()
        socket.setSoLinger(true, 0)
        socket.close()
    }

    private companion object {
        const val PAUSE_MILLISECONDS = 150L
    }
}

/** Target that keeps its connections and writes to them what a script says for each request, byte for byte. */
internal class KeptTargetStandIn(
    private val script: (KeptExchange) -> Unit,
) {
    private val acceptor = ConnectionAcceptor("kept-target", ::serve)

    /** The received requests, in order. */
    val received = CopyOnWriteArrayList<KeptExchange>()

    /** The port that the server listens on. */
    val port: Int
        get() = acceptor.port

    /** Starts to accept connections. */
    fun start() = acceptor.start()

    /** Stops accepting connections. */
    fun stop() = acceptor.stop()

    private fun serve(socket: Socket) {
        val ids = mutableListOf<String>()
        val input = socket.getInputStream().bufferedReader()
        try {
            while (!socket.isClosed) {
                val headers = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.joinToString("\n")
                if (headers.isEmpty()) return socket.close()
                repeat(
                    CONTENT_LENGTH
                        .find(headers)
                        ?.groupValues
                        ?.get(1)
                        ?.toInt() ?: 0,
                ) { input.read() }
                val exchange = KeptExchange(headers, ids.toList(), socket)
                received += exchange
                ids += exchange.id
                if (PROBE_PATH in headers) exchange.write(refusalOf(exchange)) else script(exchange)
            }
        } catch (closed: SocketException) {
            println("connection to a kept target ended: ${closed.message}")
        }
    }

    private fun refusalOf(probe: KeptExchange) =
        "HTTP/1.1 503 Full\r\nX-Request-Id: ${probe.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

/** Registers [targets] in place of the fixture's own, and waits until the gateway sends its requests to them. */
internal suspend fun GatewayFixture.replaceTargets(targets: List<KeptTargetStandIn>) {
    targets.forEachIndexed { index, target ->
        target.start()
        val original = this.targets.first()
        val registration = original.registration("models", "domain")
        store.putRegistration(
            "kept-$index",
            registration.replace("127.0.0.1:${original.port}", "127.0.0.1:${target.port}"),
        )
    }
    this.targets.forEach { store.putRegistration(it.id, null) }
    eventually {
        val before = receivedCount()
        send(PROBE_PATH)
        targets.all { it.received.isNotEmpty() } && receivedCount() == before
    }
    targets.forEach { it.received.clear() }
}
