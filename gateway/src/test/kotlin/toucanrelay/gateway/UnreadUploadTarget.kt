package toucanrelay.gateway

import java.io.InputStream
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** How [UnreadUploadTarget] ends a connection on which it has not read all. */
internal enum class UnreadEnd {
    /** Resets it. */
    RESET,

    /** Ends its own sending in order; closing the connection then resets it, as bytes are left unread. */
    END_THEN_RESET,

    /** Reads the rest, and then closes it in order. */
    READ_ON,
}

/**
 * Target that answers a request once it has read [readBytes] of its body, and then ends the connection.
 *
 * @param answer returns the bytes of the answer to the request with an id.
 */
internal class UnreadUploadTarget(
    private val readBytes: Int,
    private val end: UnreadEnd,
    private val answer: (id: String) -> String,
) {
    private val acceptor = ConnectionAcceptor("unread-upload", ::serve)

    /** Ids of the received requests, in order. */
    val received = CopyOnWriteArrayList<String>()

    /** The port that the server listens on. */
    val port: Int
        get() = acceptor.port

    /** Starts to accept connections. */
    fun start() = acceptor.start()

    /** Stops accepting connections. */
    fun stop() = acceptor.stop()

    private fun serve(socket: Socket) {
        val input = socket.getInputStream()
        val head = readHead(input)
        val id = REQUEST_ID.find(head)?.groupValues?.get(1) ?: return socket.close()
        received += id
        if (PROBE_PATH in head) return refuse(socket, id)
        input.readNBytes(readBytes)
        socket.getOutputStream().write(answer(id).toByteArray())
        socket.getOutputStream().flush()
        // The answer has to arrive before a reset, which discards what is under way.
        Thread.sleep(DELIVERY_MILLISECONDS)
        when (end) {
            UnreadEnd.RESET -> socket.setSoLinger(true, 0)
            UnreadEnd.END_THEN_RESET -> socket.shutdownOutput()
            UnreadEnd.READ_ON -> input.transferTo(OutputStream.nullOutputStream())
        }
        Thread.sleep(DELIVERY_MILLISECONDS)
        socket.close()
    }

    private fun refuse(socket: Socket, id: String) {
        val head = "HTTP/1.1 503 Full\r\nX-Request-Id: $id\r\nX-Not-Executed: 1\r\n"
        socket.getOutputStream().write("${head}Connection: close\r\nContent-Length: 0\r\n\r\n".toByteArray())
        socket.close()
    }

    private fun readHead(input: InputStream): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) break
            head.append(byte.toChar())
        }
        return head.toString()
    }

    companion object {
        /** Path of the requests that show whether the target is used, which it refuses. */
        const val PROBE_PATH = "/calls/probe"
        private const val DELIVERY_MILLISECONDS = 50L
        private val REQUEST_ID = Regex("(?i)x-request-id: *(\\S+)")
    }
}
