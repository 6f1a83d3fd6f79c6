package toucanrelay.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

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
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))

    /** Headers of the received requests, in order. */
    val received = CopyOnWriteArrayList<String>()

    /** The port that the server listens on. */
    val port: Int
        get() = server.localPort

    /** Starts to accept connections. */
    fun start() {
        thread(isDaemon = true, name = "raw-target") {
            try {
                while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
            } catch (closed: SocketException) {
                println("raw target stopped: ${closed.message}")
            }
        }
    }

    /** Stops accepting connections. */
    fun stop() = server.close()

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
        const val BACKLOG = 50
        const val DELIVERY_MILLISECONDS = 150L
        val CONTENT_LENGTH = Regex("(?i)content-length: *(\\d+)")
    }
}
