package toucanrelay.gateway.http

import io.vertx.core.buffer.Buffer

/**
 * A complete server-sent event.
 *
 * @property id null if the event has no numeric id.
 */
internal class ServerSentEvent(
    val id: Long?,
    val bytes: Buffer,
)

/** Splits a byte stream into complete server-sent events, so that a caller never receives a partial one. */
internal class EventSplitter {
    private var pending = Buffer.buffer()
    private var lineStart = 0
    private var scanned = 0
    private var id: Long? = null

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean
        get() = pending.length() > 0

    /** Number of bytes of the incomplete event. */
    val partialEventBytes: Int
        get() = pending.length()

    /** Buffers [bytes] and returns the events that they complete. */
    fun feed(bytes: Buffer): List<ServerSentEvent> {
        pending.appendBuffer(bytes)
        val events = mutableListOf<ServerSentEvent>()
        while (scanned < pending.length()) {
            if (pending.getByte(scanned) == LINE_FEED) endLine(events) else scanned++
        }
        return events
    }

    private fun endLine(events: MutableList<ServerSentEvent>) {
        val line = pending.getString(lineStart, scanned).removeSuffix("\r")
        scanned++
        lineStart = scanned
        if (line.startsWith(ID_FIELD)) id = line.removePrefix(ID_FIELD).trim().toLongOrNull()
        if (line.isEmpty()) events += takeEvent()
    }

    private fun takeEvent(): ServerSentEvent {
        val event = ServerSentEvent(id, pending.getBuffer(0, scanned))
        pending = pending.getBuffer(scanned, pending.length())
        scanned = 0
        lineStart = 0
        id = null
        return event
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
