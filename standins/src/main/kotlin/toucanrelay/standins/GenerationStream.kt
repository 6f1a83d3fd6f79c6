package toucanrelay.standins

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first

/** Lifecycle phase of a stream. */
internal enum class StreamPhase {
    WAITING,
    RUNNING,
    FINISHED,
    CANCELLED,
}

/**
 * Generated answer of one request; kept for a while after the end so that it can be resumed.
 *
 * @property requestId identifier of the request.
 * @property plan content of the answer.
 * @property promptTokens number of prompt tokens.
 * @property prefixHash hash of the prompt's prefix.
 */
internal class GenerationStream(
    val requestId: String,
    val plan: AnswerPlan,
    val promptTokens: Int,
    val prefixHash: Long,
) {
    private val recordedEvents = mutableListOf<Buffer>()
    private val generatedTokens = MutableStateFlow(0)
    private val changes = MutableStateFlow(0)

    /** Earliest [System.nanoTime] of the first token; set when the request gets a slot. */
    var firstTokenAtNanoseconds: Long = Long.MAX_VALUE

    /** Number of connections that are reading the answer. */
    var readers: Int = 0

    var phase: StreamPhase = StreamPhase.WAITING
        private set

    val lastEventId: Int
        get() = recordedEvents.size

    val isEnded: Boolean
        get() = phase == StreamPhase.FINISHED || phase == StreamPhase.CANCELLED

    /** Number of tokens generated so far. */
    val generated: StateFlow<Int>
        get() = generatedTokens

    fun start(earliestTokenAtNanoseconds: Long) {
        phase = StreamPhase.RUNNING
        firstTokenAtNanoseconds = earliestTokenAtNanoseconds
    }

    /** Appends the next token, and after the last one the closing events; readers see them after [notifyReaders]. */
    fun generateToken() {
        recordedEvents += plan.tokenEvent(generatedTokens.value)
        generatedTokens.value += 1
        if (generatedTokens.value == plan.tokens) {
            recordedEvents += plan.closingEvents()
            phase = StreamPhase.FINISHED
        }
    }

    /** Notifies readers of appended events; readers may resume before this function returns. */
    fun notifyReaders() {
        changes.value += 1
    }

    fun cancel() {
        if (isEnded) return
        phase = StreamPhase.CANCELLED
        changes.value += 1
    }

    /** Suspends until there are events after [eventId] or the stream is over, and returns those events. */
    suspend fun eventsAfter(eventId: Int): EventBatch {
        changes.first { recordedEvents.size > eventId || isEnded }
        val joined = Buffer.buffer()
        val first = eventId.coerceAtMost(recordedEvents.size)
        recordedEvents.subList(first, recordedEvents.size).forEach(joined::appendBuffer)
        return EventBatch(joined, recordedEvents.size, phase)
    }

    /** Suspends until the stream is over and returns its final phase. */
    suspend fun awaitEnd(): StreamPhase {
        changes.first { isEnded }
        return phase
    }
}

/**
 * Next events to send to a reader.
 *
 * @property events the concatenated events.
 * @property lastEventId identifier of the last event.
 * @property phase phase of the stream.
 */
internal data class EventBatch(
    val events: Buffer,
    val lastEventId: Int,
    val phase: StreamPhase,
)
