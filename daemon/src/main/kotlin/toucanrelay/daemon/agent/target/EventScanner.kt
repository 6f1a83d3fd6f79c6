package toucanrelay.daemon.agent.target

import com.google.protobuf.ByteString
import kotlinx.serialization.SerializationException
import toucanrelay.wire.Usage
import java.io.ByteArrayOutputStream

/**
 * Complete server-sent events, byte for byte as received.
 *
 * @property bytes bytes of the events.
 * @property generatedTokens number of generated tokens in them.
 */
internal class ScannedEvents(
    val bytes: ByteString,
    val generatedTokens: Int,
)

/**
 * Splits a stream of server-sent events at event boundaries, so that a stream resumed on another connection continues
 * exactly where it stopped, and extracts the event ids, tokens and usage.
 */
internal class EventScanner {
    private val partial = ByteArrayOutputStream()

    /** The `id` of the last complete event. */
    var lastEventId: Long = 0
        private set

    /** Whether the event that terminates the stream has arrived. */
    var isDone: Boolean = false
        private set

    /** Usage from the last event that reported one. */
    var usage: Usage = Usage.getDefaultInstance()
        private set

    /** Adds [bytes] and returns the events that are now complete. */
    fun feed(bytes: ByteArray): ScannedEvents {
        partial.write(bytes)
        val buffered = partial.toByteArray()
        val end = endOfLastEvent(buffered)
        val complete = buffered.copyOf(end)
        partial.reset()
        partial.write(buffered, end, buffered.size - end)
        return ScannedEvents(ByteString.copyFrom(complete), parse(complete))
    }

    /** Discards the incomplete event at the end of a broken connection. */
    fun discardPartial() {
        partial.reset()
    }

    private fun parse(events: ByteArray): Int =
        events.decodeToString().lineSequence().sumOf { line ->
            when {
                line.startsWith(ID_FIELD) -> 0.also { parseId(line) }
                line.startsWith(DATA_FIELD) -> parseData(line.removePrefix(DATA_FIELD).trim())
                else -> 0
            }
        }

    private fun parseId(line: String) {
        lastEventId = line.removePrefix(ID_FIELD).trim().toLongOrNull() ?: lastEventId
    }

    private fun parseData(data: String): Int {
        if (data == DONE) {
            isDone = true
            return 0
        }
        val event =
            try {
                targetJson.decodeFromString<CompletionEvent>(data)
            } catch (malformed: SerializationException) {
                return 0
            }
        event.usage?.let { usage = it.toWire() }
        return event.choices.count { !it.delta?.content.isNullOrEmpty() }
    }

    private companion object {
        const val ID_FIELD = "id:"
        const val DATA_FIELD = "data:"
        const val DONE = "[DONE]"

        /** Returns the offset after the last empty line, which terminates an event; zero when there is none. */
        fun endOfLastEvent(bytes: ByteArray): Int {
            for (index in bytes.lastIndex downTo 1) {
                if (bytes[index] != LINE_FEED) continue
                val before = if (bytes[index - 1] == CARRIAGE_RETURN) index - 2 else index - 1
                if (before >= 0 && bytes[before] == LINE_FEED) return index + 1
            }
            return 0
        }

        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
