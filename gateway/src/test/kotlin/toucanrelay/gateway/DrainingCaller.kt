package toucanrelay.gateway

import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread

/** Caller that sends one request, and reads what it gets as fast as it arrives and keeps nothing of it. */
internal class DrainingCaller(
    port: Int,
    path: String,
    deadlineMilliseconds: Long,
) : AutoCloseable {
    private val socket = Socket(LOOPBACK, port)

    /** Whether the connection has ended. */
    @Volatile
    var hasEnded = false
        private set

    init {
        val head = RawStreamCaller.requestHead(path, "drain-${System.nanoTime()}", deadlineMilliseconds)
        socket.getOutputStream().write(head.toByteArray())
        thread(isDaemon = true, name = "draining-caller") { drain() }
    }

    private fun drain() {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (socket.getInputStream().read(buffer) >= 0) continue
        } catch (ended: IOException) {
            println("draining caller ended: ${ended.message}")
        }
        hasEnded = true
    }

    override fun close() = socket.close()

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
