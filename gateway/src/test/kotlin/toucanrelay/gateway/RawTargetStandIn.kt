package toucanrelay.gateway

import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** How [RawTargetStandIn] ends a connection after its answer. */
internal enum class ConnectionEnd {
    /** Closes it in order. */
    CLOSE,

    /** Resets it. */
    RESET,
}

/** Target that answers each request with bytes as they are and then ends the connection. */
internal class RawTargetStandIn(
    private val answer: (headers: String) -> String,
    private val end: ConnectionEnd,
) {
    private val acceptor = ConnectionAcceptor("raw-target", ::serve)

    /** Headers of the received requests, in order. */
    val received = CopyOnWriteArrayList<String>()

    /** The port that the server listens on. */
    val port: Int
        get() = acceptor.port

    /** Starts to accept connections. */
    fun start() = acceptor.start()

    /** Stops accepting connections. */
    fun stop() = acceptor.stop()

    private fun serve(socket: Socket) {
        val headers = readHeaders(socket) ?: return
        received += headers
        socket.getOutputStream().write(answer(headers).toByteArray())
        socket.getOutputStream().flush()
        // The answer has to arrive before a reset, which discards what is under way.
        Thread.sleep(DELIVERY_MILLISECONDS)
        if (end == ConnectionEnd.RESET) socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Reads a request and returns its headers, or null if the caller closes before. */
    private fun readHeaders(socket: Socket): String? {
        val input = socket.getInputStream().bufferedReader()
        val headers = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val length =
            headers.firstNotNullOfOrNull {
                CONTENT_LENGTH
                    .find(it)
                    ?.groupValues
                    ?.get(1)
                    ?.toInt()
            } ?: 0
        repeat(length) { input.read() }
        return headers.joinToString("\n").takeIf { it.isNotEmpty() }
    }

    private companion object {
        const val DELIVERY_MILLISECONDS = 150L
        val CONTENT_LENGTH = Regex("(?i)content-length: *(\\d+)")
    }
}
