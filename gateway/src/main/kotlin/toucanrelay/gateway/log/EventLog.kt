package toucanrelay.gateway.log

import kotlinx.serialization.json.JsonPrimitive
import org.tinylog.kotlin.Logger
import toucanrelay.core.limit.TokenBucket
import toucanrelay.core.time.Clock
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Writes one JSON line for each event to standard output.
 *
 * Lines are written in batches, since waking a thread and a write for each of them would cost more than the lines do.
 * A line is dropped and counted when more arrive than the rate allows or standard output is slower than the events, so
 * that logging never blocks the event loop and its memory stays bounded.
 *
 * @param isWritten whether lines go to standard output; else they are made and dropped.
 */
internal class EventLog(
    private val clock: Clock,
    private val isWritten: Boolean = true,
) {
    private val lines = ArrayBlockingQueue<String>(QUEUED_LINES)
    private val dropped = AtomicLong()
    private val rate = TokenBucket(clock, LINES_PER_SECOND, LINES_IN_A_BURST)

    init {
        if (isWritten) thread(isDaemon = true, name = "event-log") { writeForever() }
    }

    /** Writes an event with [fields]; null values are left out. */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!rate.tryTake()) {
            dropped.incrementAndGet()
            return
        }
        val line = format(event, fields)
        if (!isWritten) return
        if (!lines.offer(line)) dropped.incrementAndGet()
    }

    private fun format(event: String, fields: Array<out Pair<String, Any?>>): String {
        val text = StringBuilder(INITIAL_CHARACTERS)
        text
            .append("{\"ms\":")
            .append(clock.nowMilliseconds())
            .append(",\"event\":\"")
            .append(event)
            .append('"')
        fields.forEach { (name, value) -> if (value != null) appendField(text, name, value) }
        val lost = dropped.getAndSet(0)
        if (lost > 0) appendField(text, "droppedLines", lost)
        return text.append('}').toString()
    }

    private fun appendField(text: StringBuilder, name: String, value: Any) {
        text.append(",\"").append(name).append("\":")
        if (value is Number || value is Boolean) text.append(value) else text.append(JsonPrimitive(value.toString()))
    }

    private fun writeForever() {
        val batch = ArrayList<String>(QUEUED_LINES)
        while (true) {
            batch += lines.take()
            Thread.sleep(BATCH_MILLISECONDS)
            lines.drainTo(batch)
            Logger.info { batch.joinToString("\n") }
            batch.clear()
        }
    }

    internal companion object {
        /** Lines of this time are written together. */
        const val BATCH_MILLISECONDS = 50L
        private const val QUEUED_LINES = 2_000
        private const val LINES_PER_SECOND = 300.0
        private const val LINES_IN_A_BURST = 600.0
        private const val INITIAL_CHARACTERS = 200
    }
}
