package toucanrelay.daemon.agent.target

import com.google.protobuf.ByteString
import kotlinx.serialization.SerializationException
import toucanrelay.wire.Usage
import java.io.ByteArrayOutputStream

/**
 * Whole server-sent events, as they came.
 *
 * @property bytes the events' bytes.
 * @property generatedTokens tokens in them.
 */
internal class ScannedEvents(
    val bytes: ByteString,
    val generatedTokens: Int,
)

/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream that is continued on another connection
 * goes on exactly where it stopped, and reads what the agent has to know of them.
 */
internal class EventScanner {
    private val partial = ByteArrayOutputStream()

    /** The `id` of the last whole event. */
    var lastEventId: Long = 0
        private set

    /** Whether the event that ends a whole stream has come. */
    var isDone: Boolean = false
        private set

    var usage: Usage = Usage.getDefaultInstance()
        private set

    /** Takes in bytes and returns the events that they complete. */
    fun feed(bytes: ByteArray): ScannedEvents {
        partial.write(bytes)
        val held = partial.toByteArray()
        val end = endOfLastEvent(held)
        val whole = held.copyOf(end)
        partial.reset()
        partial.write(held, end, held.size - end)
        return ScannedEvents(ByteString.copyFrom(whole), read(whole))
    }

    /** Drops the part of an event with which a broken connection ended. */
    fun dropPartial() {
        partial.reset()
    }

    private fun read(events: ByteArray): Int =
        events.decodeToString().lineSequence().sumOf { line ->
            when {
                line.startsWith(ID_FIELD) -> 0.also { readId(line) }
                line.startsWith(DATA_FIELD) -> readData(line.removePrefix(DATA_FIELD).trim())
                else -> 0
            }
        }

    private fun readId(line: String) {
        lastEventId = line.removePrefix(ID_FIELD).trim().toLongOrNull() ?: lastEventId
    }

    private fun readData(data: String): Int {
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

        /** An event ends with an empty line. */
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
