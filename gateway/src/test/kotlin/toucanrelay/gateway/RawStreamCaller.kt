package toucanrelay.gateway

import toucanrelay.platform.standin.ConfigurationDocumentBuilder
import java.io.ByteArrayOutputStream
import java.net.Socket
import java.net.SocketException

/**
 * What a caller received on its connection until that ended, decoded strictly.
 *
 * @property body the content of the chunks.
 * @property isComplete whether the terminating chunk arrived.
 * @property excess bytes that are no chunk, or follow the terminating one.
 */
internal data class RawStream(
    val status: Int,
    val body: String,
    val isComplete: Boolean,
    val excess: String,
)

/** Caller that reads the bytes of an answer in chunks as they are. */
internal object RawStreamCaller {
    private const val HEAD_END = "\r\n\r\n"
    private const val LINE_END = "\r\n"
    private const val HEXADECIMAL = 16
    private const val DEADLINE_MILLISECONDS = 5_000L
    private const val READ_TIMEOUT_MILLISECONDS = 20_000

    /** Sends a request to [path] at [port] and reads until the connection ends. */
    fun send(port: Int, path: String, requestId: String = "raw-${System.nanoTime()}"): RawStream =
        Socket(LOOPBACK, port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLISECONDS
            socket.getOutputStream().write(requestHead(path, requestId).toByteArray())
            socket.getOutputStream().flush()
            decode(readToEnd(socket))
        }

    /** Returns the head of a request for a stream, which has no body. */
    fun requestHead(path: String, requestId: String, deadlineMilliseconds: Long = DEADLINE_MILLISECONDS): String =
        listOf(
            "POST $path HTTP/1.1",
            "Host: ${ConfigurationDocumentBuilder.HOST}",
            "Connection: close",
            "Content-Length: 0",
            "X-Request-Id: $requestId",
            "X-Deadline-Ms: $deadlineMilliseconds",
            "X-Model: m",
            "X-Token-Counts: 300,20",
            "X-Prompt-Prefix: a1:100,b2:200",
            "X-Key: $KEY",
        ).joinToString(LINE_END, postfix = HEAD_END)

    private fun readToEnd(socket: Socket): String {
        val bytes = ByteArrayOutputStream()
        try {
            socket.getInputStream().copyTo(bytes)
        } catch (reset: SocketException) {
            println("answer was reset: ${reset.message}")
        }
        return bytes.toString(Charsets.ISO_8859_1)
    }

    private fun decode(text: String): RawStream {
        val status = text.substringAfter(' ').substringBefore(' ').toInt()
        val body = StringBuilder()
        var rest = text.substringAfter(HEAD_END)
        while (true) {
            val size = rest.substringBefore(LINE_END, "").toIntOrNull(HEXADECIMAL)
            val start = rest.indexOf(LINE_END) + LINE_END.length
            if (size == null || !rest.startsWith(LINE_END, start + size)) {
                return RawStream(status, body.toString(), isComplete = false, excess = rest)
            }
            body.append(rest, start, start + size)
            rest = rest.substring(start + size + LINE_END.length)
            if (size == 0) return RawStream(status, body.toString(), isComplete = true, excess = rest)
        }
    }
}
