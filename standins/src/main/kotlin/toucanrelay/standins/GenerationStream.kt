package toucanrelay.standins

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first

/** How far a stream has come. */
internal enum class StreamPhase {
    WAITING,
    RUNNING,
    FINISHED,
    CANCELLED,
}

/**
 * The answer to one request while it is generated and for a while after.
 *
 * @property requestId the request's identifier.
 * @property plan the answer.
 * @property promptTokens tokens of the prompt.
 * @property prefixHash hash of the prompt's leading part.
 */
internal class GenerationStream(
    val requestId: String,
    val plan: AnswerPlan,
    val promptTokens: Int,
    val prefixHash: Long,
) {
    private val recorded = mutableListOf<Buffer>()
    private val generatedTokens = MutableStateFlow(0)
    private val changes = MutableStateFlow(0)

    /** When the first token may come; set when the request gets its slot. */
    var firstTokenAtNanoseconds: Long = Long.MAX_VALUE

    /** Connections that read the answer now. */
    var readers: Int = 0

    var phase: StreamPhase = StreamPhase.WAITING
        private set

    val lastEventId: Int
        get() = recorded.size

    val isOver: Boolean
        get() = phase == StreamPhase.FINISHED || phase == StreamPhase.CANCELLED

    /** Tokens generated so far. */
    val generated: StateFlow<Int>
        get() = generatedTokens

    fun start(firstTokenAt: Long) {
        phase = StreamPhase.RUNNING
        firstTokenAtNanoseconds = firstTokenAt
    }

    /** Adds the next token, and the closing events after the last one; readers see them after [announce]. */
    fun generateToken() {
        recorded += plan.tokenEvent(generatedTokens.value)
        generatedTokens.value += 1
        if (generatedTokens.value == plan.tokens) {
            recorded += plan.closingEvents()
            phase = StreamPhase.FINISHED
        }
    }

    /** Lets readers see what was added; they may go on before this returns. */
    fun announce() {
        changes.value += 1
    }

    fun cancel() {
        if (isOver) return
        phase = StreamPhase.CANCELLED
        changes.value += 1
    }

    /** Suspends until there are events after [eventId] or the stream is over, and returns them joined. */
    suspend fun eventsAfter(eventId: Int): StreamPart {
        changes.first { recorded.size > eventId || isOver }
        val part = Buffer.buffer()
        val first = eventId.coerceAtMost(recorded.size)
        recorded.subList(first, recorded.size).forEach(part::appendBuffer)
        return StreamPart(part, recorded.size, phase)
    }

    /** Suspends until the stream is over and returns how it ended. */
    suspend fun end(): StreamPhase {
        changes.first { isOver }
        return phase
    }
}

/**
 * Events to send next.
 *
 * @property events the events, joined.
 * @property lastEventId identifier of the last of them.
 * @property phase how far the stream has come.
 */
internal data class StreamPart(
    val events: Buffer,
    val lastEventId: Int,
    val phase: StreamPhase,
)
