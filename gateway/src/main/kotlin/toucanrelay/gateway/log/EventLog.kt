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
 * Lines are written in batches, since a thread wake-up and a write for each line would cost more than formatting it.
 * Lines above the rate limit, or produced faster than standard output accepts them, are dropped and counted, so that
 * logging never blocks the event loop and uses bounded memory.
 *
 * @param isWritten whether lines go to standard output; otherwise they are formatted and discarded.
 */
internal class EventLog(
    private val clock: Clock,
    private val isWritten: Boolean = true,
) {
    private val lines = ArrayBlockingQueue<String>(MAX_QUEUED_LINES)
    private val dropped = AtomicLong()
    private val rateLimit = TokenBucket(clock, LINES_PER_SECOND, BURST_LINES)

    init {
        if (isWritten) thread(isDaemon = true, name = "event-log") { writeForever() }
    }

    /** Logs [event] with [fields]; fields with a null value are omitted. */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!rateLimit.tryTake()) {
            dropped.incrementAndGet()
            return
        }
        val line = format(event, fields)
        if (!isWritten) return
        if (!lines.offer(line)) dropped.incrementAndGet()
    }

    private fun format(event: String, fields: Array<out Pair<String, Any?>>): String {
        val json = StringBuilder(INITIAL_LINE_CHARACTERS)
        json
            .append("{\"ms\":")
            .append(clock.nowMilliseconds())
            .append(",\"event\":\"")
            .append(event)
            .append('"')
        fields.forEach { (name, value) -> if (value != null) appendField(json, name, value) }
        val droppedCount = dropped.getAndSet(0)
        if (droppedCount > 0) appendField(json, "droppedLines", droppedCount)
        return json.append('}').toString()
    }

    private fun appendField(json: StringBuilder, name: String, value: Any) {
        json.append(",\"").append(name).append("\":")
        if (value is Number || value is Boolean) json.append(value) else json.append(JsonPrimitive(value.toString()))
    }

    private fun writeForever() {
        val batch = ArrayList<String>(MAX_QUEUED_LINES)
        while (true) {
            batch += lines.take()
            Thread.sleep(BATCH_MILLISECONDS)
            lines.drainTo(batch)
            Logger.info { batch.joinToString("\n") }
            batch.clear()
        }
    }

    internal companion object {
        /** Period in which lines are collected for one write. */
        const val BATCH_MILLISECONDS = 50L
        private const val MAX_QUEUED_LINES = 2_000
        private const val LINES_PER_SECOND = 300.0
        private const val BURST_LINES = 600.0
        private const val INITIAL_LINE_CHARACTERS = 200
    }
}
