package toucanrelay.daemon.agent.work

import com.google.protobuf.ByteString
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.update
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.time.Clock
import toucanrelay.wire.Head
import toucanrelay.wire.ServeEvent
import toucanrelay.wire.Usage
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Size limits of an [AnswerBuffer].
 *
 * @property readAheadBytes unread bytes at which reading from the target pauses.
 * @property retainedBytes bytes kept for an entry that resumes the answer after its link broke.
 */
internal data class AnswerBounds(
    val readAheadBytes: Long = 256 * 1_024,
    val retainedBytes: Long = 1_024 * 1_024,
)

/**
 * Buffers the answer to one request between the target and the entry.
 *
 * One coroutine appends. One entry reads, and can read again from any offset that is still retained. A new reader
 * replaces the previous one.
 */
internal class AnswerBuffer(
    private val clock: Clock,
    private val bounds: AnswerBounds = AnswerBounds(),
) {
    private val lock = ReentrantLock()
    private val changes = MutableStateFlow(0L)
    private val chunks = ArrayDeque<ServeEvent>()
    private var head: Head? = null
    private var lastEvent: ServeEvent? = null
    private var firstOffset = 0L
    private var endOffset = 0L
    private var readOffset = 0L
    private var readerId = 0L
    private var hasReader = false
    private var noReaderSinceMilliseconds = clock.nowMilliseconds()

    /** Bytes of the body appended so far. */
    val bodyBytes: Long
        get() = lock.withLock { endOffset }

    val hasHead: Boolean
        get() = lock.withLock { head != null }

    /** Whether the last event was appended. */
    val isFinished: Boolean
        get() = lock.withLock { lastEvent != null }

    /** Whether an entry is reading. */
    val hasActiveReader: Boolean
        get() = lock.withLock { hasReader }

    /** Time since the last reader left, or since creation if there was none; zero while an entry is reading. */
    val millisecondsWithoutReader: Long
        get() = lock.withLock { if (hasReader) 0 else clock.nowMilliseconds() - noReaderSinceMilliseconds }

    /** Sets status and headers; later calls are ignored. */
    fun setHead(head: Head) {
        lock.withLock { if (this.head == null) this.head = head }
        signalChange()
    }

    /** Appends to the body; suspends while the reader is too far behind. */
    suspend fun append(body: ByteString, generatedTokens: Int) {
        if (body.isEmpty) return
        changes.first { hasRoom() }
        lock.withLock {
            chunks.addLast(chunkEvent(endOffset, body, generatedTokens))
            endOffset += body.size()
            dropReadChunks()
        }
        signalChange()
    }

    /** Appends the last event; later ones are ignored. */
    fun finish(event: ServeEvent) {
        lock.withLock { if (lastEvent == null) lastEvent = event }
        signalChange()
    }

    /** Ends the answer as complete. */
    fun complete(usage: Usage) {
        finish(endEvent(bodyBytes, usage))
    }

    /** Returns the events from [offset] on, without the head if [readerHasHead]. */
    fun events(offset: Long, readerHasHead: Boolean): Flow<ServeEvent> =
        flow {
            val position = openReader(offset, readerHasHead)
            try {
                do {
                    val event = changes.first { position.isReplaced() || peek(position) != null }.let { next(position) }
                    if (event != null) emit(event)
                } while (event != null && !event.isLast)
            } finally {
                closeReader(position)
            }
        }

    private fun openReader(offset: Long, readerHasHead: Boolean): ReaderPosition =
        lock
            .withLock {
                readerId += 1
                hasReader = true
                readOffset = offset
                ReaderPosition(readerId, offset, readerHasHead)
            }.also { signalChange() }

    private fun closeReader(position: ReaderPosition) {
        lock.withLock {
            if (position.readerId == readerId) {
                hasReader = false
                noReaderSinceMilliseconds = clock.nowMilliseconds()
            }
        }
    }

    private fun ReaderPosition.isReplaced(): Boolean = lock.withLock { readerId != this@AnswerBuffer.readerId }

    private fun peek(position: ReaderPosition): ServeEvent? = lock.withLock { nextEvent(position) }

    private fun next(position: ReaderPosition): ServeEvent? {
        val event =
            lock.withLock {
                if (position.readerId != readerId) return null
                val next = nextEvent(position) ?: return null
                position.advancePast(next)
                readOffset = position.offset
                next
            }
        signalChange()
        return event
    }

    private fun nextEvent(position: ReaderPosition): ServeEvent? =
        when {
            !position.hasHead && head != null -> {
                headEvent(checkNotNull(head))
            }

            position.offset < firstOffset || position.offset > endOffset -> {
                failedEvent(RefusalReason.ANSWER_LOST, "the answer is not kept from byte ${position.offset} on")
            }

            position.offset < endOffset -> {
                chunkAt(position.offset)
            }

            else -> {
                lastEvent
            }
        }

    /** Joins the chunks from [offset] on up to a size limit, so that a slow reader catches up in few messages. */
    private fun chunkAt(offset: Long): ServeEvent {
        val index = indexOfChunkAt(offset)
        var body = chunks[index].chunk.body.substring((offset - chunks[index].chunk.offset).toInt())
        var tokens = chunks[index].chunk.generatedTokens
        var next = index + 1
        while (next < chunks.size && body.size() + chunks[next].chunk.body.size() <= MAX_JOINED_BYTES) {
            body = body.concat(chunks[next].chunk.body)
            tokens += chunks[next].chunk.generatedTokens
            next += 1
        }
        return chunkEvent(offset, body, tokens)
    }

    private fun indexOfChunkAt(offset: Long): Int {
        val found = chunks.binarySearch { it.chunk.offset.compareTo(offset) }
        return if (found >= 0) found else -found - 2
    }

    private fun hasRoom(): Boolean =
        lock.withLock { lastEvent != null || endOffset - readOffset < bounds.readAheadBytes }

    private fun dropReadChunks() {
        while (chunks.isNotEmpty() && endOffset - firstOffset > bounds.retainedBytes) {
            val chunk = chunks.first().chunk
            val end = chunk.offset + chunk.body.size()
            if (end > readOffset) return
            chunks.removeFirst()
            firstOffset = end
        }
    }

    private fun signalChange() = changes.update { it + 1 }

    private companion object {
        const val MAX_JOINED_BYTES = 16 * 1_024
    }

    private class ReaderPosition(
        val readerId: Long,
        var offset: Long,
        var hasHead: Boolean,
    ) {
        fun advancePast(event: ServeEvent) {
            if (event.hasHead()) hasHead = true
            if (event.hasChunk()) offset = event.chunk.offset + event.chunk.body.size()
        }
    }
}

/** Whether no event follows this one. */
internal val ServeEvent.isLast: Boolean
    get() = hasEnd() || hasFailed() || hasRefused()
