package toucanrelay.core.http

/**
 * Finds the end of one message in the bytes of a connection.
 *
 * The message is read until it is complete or its end is in doubt; then nothing more of the connection may be read as it.
 *
 * @param maxHeadBytes limit on the size of the head, and on that of the trailers.
 * @param framingOf decides from the head how the body ends.
 */
public class MessageReader(
    private val maxHeadBytes: Int,
    private val framingOf: (MessageHead) -> BodyFraming,
) {
    private enum class Expected { HEAD, BODY, BODY_UNTIL_CLOSE, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, NOTHING }

    private var expected = Expected.HEAD
    private val line = StringBuilder()
    private val headLines = ArrayList<String>()
    private var remainingBytes = 0L

    /** The head of the message once it was read. */
    public var head: MessageHead? = null
        private set

    /** Why the end of the message is in doubt; null if it is not. */
    public var fault: FramingFault? = null
        private set

    /** Number of the bytes read last that belong to a head, a chunk's frame or trailers whose end was not read yet. */
    public var undecidedBytes: Int = 0
        private set

    /** Whether the head was read and says where the body ends. */
    public var isHeadDecided: Boolean = false
        private set

    /** Whether the whole message was read. */
    public val isComplete: Boolean
        get() = expected == Expected.NOTHING && fault == null

    /** Reads [bytes] from [start] on, and returns the position after the last one that was read. */
    public fun read(bytes: ReceivedBytes, start: Int): Int {
        var position = start
        while (position < bytes.size && expected != Expected.NOTHING) {
            position = readNext(bytes, position)
        }
        return position
    }

    private fun readNext(bytes: ReceivedBytes, position: Int): Int =
        when (expected) {
            Expected.BODY, Expected.CHUNK -> skipBody(bytes, position)
            Expected.BODY_UNTIL_CLOSE -> bytes.size
            else -> readLine(bytes, position)
        }

    private fun skipBody(bytes: ReceivedBytes, position: Int): Int {
        val skipped = minOf(remainingBytes, (bytes.size - position).toLong()).toInt()
        remainingBytes -= skipped
        if (remainingBytes == 0L) expected = if (expected == Expected.BODY) Expected.NOTHING else Expected.CHUNK_END
        return position + skipped
    }

    private fun readLine(bytes: ReceivedBytes, position: Int): Int {
        val lineFeed = bytes.indexOfLineFeed(position)
        val end = if (lineFeed < 0) bytes.size else lineFeed + 1
        undecidedBytes += end - position
        line.append(bytes.text(position, end))
        when {
            undecidedBytes > maxUndecidedBytes() -> fail(sizeFault())
            lineFeed >= 0 -> endLine()
        }
        return end
    }

    private fun endLine() {
        val complete = line.toString()
        line.clear()
        if (!complete.endsWith(LINE_END)) return fail(lineFault())
        val text = complete.dropLast(LINE_END.length)
        if (text.any { isControl(it) }) return fail(lineFault())
        when (expected) {
            Expected.HEAD -> readHeadLine(text)
            Expected.CHUNK_SIZE -> readChunkSize(text)
            Expected.CHUNK_END -> if (text.isEmpty()) decide(Expected.CHUNK_SIZE) else fail(FramingFault.INVALID_CHUNK)
            else -> readTrailer(text)
        }
    }

    private fun readHeadLine(text: String) {
        if (text.isNotEmpty()) {
            headLines += text
        } else if (headLines.isNotEmpty()) {
            endHead()
        }
    }

    private fun endHead() {
        val parsed = MessageHead.parse(headLines) ?: return fail(FramingFault.MALFORMED_LINE)
        headLines.clear()
        head = parsed
        when (val framing = framingOf(parsed)) {
            BodyFraming.None -> decide(Expected.NOTHING)
            BodyFraming.AnotherHead -> decide(Expected.HEAD)
            BodyFraming.Chunked -> decide(Expected.CHUNK_SIZE)
            BodyFraming.UntilClose -> decide(Expected.BODY_UNTIL_CLOSE)
            is BodyFraming.Length -> expectBody(framing.bytes)
            is BodyFraming.Doubtful -> fail(framing.fault)
        }
    }

    private fun expectBody(bytes: Long) {
        remainingBytes = bytes
        decide(if (bytes == 0L) Expected.NOTHING else Expected.BODY)
    }

    private fun readChunkSize(text: String) {
        when (val size = ChunkSize.parse(text)) {
            is ChunkSize.Doubtful -> {
                fail(size.fault)
            }

            is ChunkSize.Of -> {
                remainingBytes = size.bytes
                decide(if (size.bytes == 0L) Expected.TRAILERS else Expected.CHUNK)
            }
        }
    }

    private fun readTrailer(text: String) {
        if (text.isEmpty()) return decide(Expected.NOTHING)
        if (HeaderField.parse(text) == null) fail(FramingFault.MALFORMED_LINE)
    }

    private fun decide(next: Expected) {
        undecidedBytes = 0
        expected = next
        if (next != Expected.HEAD) isHeadDecided = true
    }

    private fun fail(reason: FramingFault) {
        fault = reason
        expected = Expected.NOTHING
    }

    private fun isFrameOfChunk() = expected == Expected.CHUNK_SIZE || expected == Expected.CHUNK_END

    private fun maxUndecidedBytes() = if (isFrameOfChunk()) MAX_CHUNK_FRAME_BYTES else maxHeadBytes

    private fun sizeFault() = if (isFrameOfChunk()) FramingFault.INVALID_CHUNK else FramingFault.HEAD_TOO_LARGE

    private fun lineFault() = if (isFrameOfChunk()) FramingFault.INVALID_CHUNK else FramingFault.MALFORMED_LINE

    private fun isControl(character: Char) = (character < ' ' && character != '\t') || character == DELETE

    private companion object {
        const val LINE_END = "\r\n"
        const val DELETE = '\u007F'
        const val MAX_CHUNK_FRAME_BYTES = 4_096
    }
}
