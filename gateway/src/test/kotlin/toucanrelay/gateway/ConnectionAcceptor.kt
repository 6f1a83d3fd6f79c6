package toucanrelay.gateway

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import kotlin.concurrent.thread

/** Accepts connections on a free port of the loopback interface, each of which [serve] handles on a thread of its own. */
internal class ConnectionAcceptor(
    private val name: String,
    private val serve: (Socket) -> Unit,
) {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))

    /** The port that the server listens on. */
    val port: Int
        get() = server.localPort

    /** Starts to accept connections. */
    fun start() {
        thread(isDaemon = true, name = name) {
            try {
                while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
            } catch (closed: SocketException) {
                println("$name stopped: ${closed.message}")
            }
        }
    }

    /** Stops accepting connections. */
    fun stop() = server.close()

    private companion object {
        const val BACKLOG = 50
    }
}
