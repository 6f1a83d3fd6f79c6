package toucanrelay.gateway

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Target that answers each request with [start] and then [filler] again and again until its caller closes.
 *
 * `REQUEST-ID` in [start] is replaced by the ID of the request.
 */
internal class EndlessTargetStandIn(
    private val vertx: Vertx,
    private val start: String,
    private val filler: String,
) {
    private val server: NetServer = vertx.createNetServer()

    /** Number of requests received. */
    val requests = AtomicInteger()

    /** Number of connections that are still open. */
    val open = AtomicInteger()

    /** Number of open connections on which an answer has begun. */
    val answering = AtomicInteger()

    /** Number of bytes that were written. */
    val writtenBytes = AtomicLong()

    /** The port that the server listens on. */
    val port: Int
        get() = server.actualPort()

    /** Starts to listen on a free port of the loopback interface. */
    suspend fun start() {
        server.connectHandler { serve(it) }.listen(0, "127.0.0.1").coAwait()
    }

    private fun serve(socket: NetSocket) {
        open.incrementAndGet()
        var isAnswering = false
        socket.closeHandler {
            open.decrementAndGet()
            if (isAnswering) answering.decrementAndGet()
        }
        socket.exceptionHandler { socket.close() }
        val received = Buffer.buffer()
        socket.handler { bytes ->
            received.appendBuffer(bytes)
            val id = REQUEST_ID.find(received.toString())?.groupValues?.get(1)
            if (id != null) {
                requests.incrementAndGet()
                answering.incrementAndGet()
                isAnswering = true
                socket.handler { }
                socket.write(start.replace("REQUEST-ID", id))
                fill(socket, Buffer.buffer(filler.repeat(BYTES_IN_A_WRITE / filler.length)))
            }
        }
    }

    private fun fill(socket: NetSocket, bytes: Buffer) {
        socket.write(bytes).onSuccess {
            writtenBytes.addAndGet(bytes.length().toLong())
            vertx.setTimer(PAUSE_MILLISECONDS) { fill(socket, bytes) }
        }
    }

    private companion object {
        val REQUEST_ID = Regex("(?i)x-request-id: *(\\S+)")
        const val BYTES_IN_A_WRITE = 262_144
        const val PAUSE_MILLISECONDS = 1L
    }
}
