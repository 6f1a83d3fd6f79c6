package toucanrelay.gateway.http

import io.vertx.core.buffer.Buffer

/**
 * Splits a byte stream into complete server-sent events, so that a caller never receives a partial one.
 *
 * Its work grows with the number of bytes, however they are divided into pieces and lines.
 */
internal class EventSplitter {
    private var pending = Buffer.buffer()

    /** Position in [pending] up to which its bytes are split into parts that were returned. */
    private var taken = 0

    /** Position of the first line after the last event or filler that is known to be complete. */
    private var blockStart = 0
    private var lineStart = 0
    private var scanned = 0
    private var isEvent = false
    private var id: Long? = null

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean
        get() = partialEventBytes > 0

    /** Number of bytes of the incomplete event. */
    val partialEventBytes: Int
        get() = pending.length()

    /** Buffers [bytes] and returns the parts that they complete. */
    fun feed(bytes: Buffer): List<StreamPart> {
        pending.appendBuffer(bytes)
        val parts = mutableListOf<StreamPart>()
        while (scanned < pending.length()) {
            if (pending.getByte(scanned++) == LINE_FEED) endLine(parts)
        }
        takeFiller(parts)
        discardTaken()
        return parts
    }

    /** Handles the line whose line feed is the byte before [scanned]. */
    private fun endLine(parts: MutableList<StreamPart>) {
        val end = lineEnd()
        if (end == lineStart) endBlock(parts) else readField(end)
        lineStart = scanned
    }

    /** Returns the position after the text of the line, whose end may begin with a carriage return. */
    private fun lineEnd(): Int {
        val lineFeed = scanned - 1
        val hasReturn = lineFeed > lineStart && pending.getByte(lineFeed - 1) == CARRIAGE_RETURN
        return if (hasReturn) lineFeed - 1 else lineFeed
    }

    private fun readField(end: Int) {
        if (hasField(DATA_FIELD, end)) isEvent = true
        if (!hasField(ID_FIELD, end)) return
        isEvent = true
        id = pending.getString(minOf(lineStart + ID_FIELD.length + 1, end), end).trim().toLongOrNull()
    }

    /** Returns whether the line that ends at [end] has the field [name]. */
    private fun hasField(name: String, end: Int): Boolean {
        val nameEnd = lineStart + name.length
        if (nameEnd > end) return false
        val isNamed = name.indices.all { pending.getByte(lineStart + it) == name[it].code.toByte() }
        return isNamed && (nameEnd == end || pending.getByte(nameEnd) == COLON)
    }

    /** Handles the blank line before [scanned]; blocks that are no events are joined to one filler. */
    private fun endBlock(parts: MutableList<StreamPart>) {
        if (isEvent) {
            takeFiller(parts)
            parts += ServerSentEvent(id, pending.getBuffer(taken, scanned))
            taken = scanned
        }
        blockStart = scanned
        isEvent = false
        id = null
    }

    private fun takeFiller(parts: MutableList<StreamPart>) {
        if (taken == blockStart) return
        parts += StreamFiller(pending.getBuffer(taken, blockStart))
        taken = blockStart
    }

    /** Copies what is not taken; only after a part was, so that a long event that arrives in pieces is not copied often. */
    private fun discardTaken() {
        if (taken == 0) return
        pending = pending.getBuffer(taken, pending.length())
        blockStart -= taken
        lineStart -= taken
        scanned -= taken
        taken = 0
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        const val DATA_FIELD = "data"
        const val ID_FIELD = "id"
    }
}
