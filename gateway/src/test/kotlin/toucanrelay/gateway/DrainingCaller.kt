package toucanrelay.gateway

import toucanrelay.platform.standin.ConfigurationDocumentBuilder
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
        val head =
            listOf(
                "POST $path HTTP/1.1",
                "Host: ${ConfigurationDocumentBuilder.HOST}",
                "Connection: close",
                "Content-Length: 0",
                "X-Request-Id: drain-${System.nanoTime()}",
                "X-Deadline-Ms: $deadlineMilliseconds",
                "X-Model: m",
                "X-Token-Counts: 300,20",
                "X-Prompt-Prefix: a1:100,b2:200",
                "X-Key: $KEY",
            )
        socket.getOutputStream().write(head.joinToString("\r\n", postfix = "\r\n\r\n").toByteArray())
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
