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
 * Bounds of one answer's buffer.
 *
 * @property readAheadBytes bytes that the target may be ahead of the entry before it is no longer read from.
 * @property retainedBytes bytes kept for an entry that resumes after its link broke.
 */
internal data class AnswerBounds(
    val readAheadBytes: Long = 256 * 1_024,
    val retainedBytes: Long = 1_024 * 1_024,
)

/**
 * The answer to one request on its way from the target to the entry.
 *
 * One coroutine appends; one entry reads, and may read again from an offset that is still retained. A new reader
 * replaces the one before it.
 */
internal class AnswerBuffer(
    private val clock: Clock,
    private val bounds: AnswerBounds = AnswerBounds(),
) {
    private val lock = ReentrantLock()
    private val changes = MutableStateFlow(0L)
    private val chunks = ArrayDeque<ServeEvent>()
    private var head: Head? = null
    private var last: ServeEvent? = null
    private var firstOffset = 0L
    private var endOffset = 0L
    private var readOffset = 0L
    private var reader = 0L
    private var hasReader = false
    private var unreadSince = clock.nowMilliseconds()

    /** Bytes that the answer's body has so far. */
    val bodyBytes: Long
        get() = lock.withLock { endOffset }

    val hasHead: Boolean
        get() = lock.withLock { head != null }

    /** Whether the last event was appended. */
    val isFinished: Boolean
        get() = lock.withLock { last != null }

    /** Whether an entry reads now. */
    val isRead: Boolean
        get() = lock.withLock { hasReader }

    /** How long no entry has read; zero while one does. */
    val unreadMilliseconds: Long
        get() = lock.withLock { if (hasReader) 0 else clock.nowMilliseconds() - unreadSince }

    /** Sets status and headers, once. */
    fun begin(head: Head) {
        lock.withLock { if (this.head == null) this.head = head }
        changed()
    }

    /** Appends to the body; suspends while the reader is too far behind. */
    suspend fun append(body: ByteString, generatedTokens: Int) {
        if (body.isEmpty) return
        changes.first { hasRoom() }
        lock.withLock {
            chunks.addLast(chunkEvent(endOffset, body, generatedTokens))
            endOffset += body.size()
            dropOld()
        }
        changed()
    }

    /** Appends the last event; later ones are ignored. */
    fun finish(event: ServeEvent) {
        lock.withLock { if (last == null) last = event }
        changed()
    }

    /** Ends the answer as whole. */
    fun finishWhole(usage: Usage) {
        finish(endEvent(bodyBytes, usage))
    }

    /** The events from [offset] on; without the head when the reader has it. */
    fun events(offset: Long, readerHasHead: Boolean): Flow<ServeEvent> =
        flow {
            val position = open(offset, readerHasHead)
            try {
                do {
                    val event = changes.first { position.isReplaced() || peek(position) != null }.let { take(position) }
                    if (event != null) emit(event)
                } while (event != null && !event.isLast)
            } finally {
                close(position)
            }
        }

    private fun open(offset: Long, readerHasHead: Boolean): Position =
        lock
            .withLock {
                reader += 1
                hasReader = true
                readOffset = offset
                Position(reader, offset, readerHasHead)
            }.also { changed() }

    private fun close(position: Position) {
        lock.withLock {
            if (position.reader == reader) {
                hasReader = false
                unreadSince = clock.nowMilliseconds()
            }
        }
    }

    private fun Position.isReplaced(): Boolean = lock.withLock { reader != this@AnswerBuffer.reader }

    private fun peek(position: Position): ServeEvent? = lock.withLock { nextFor(position) }

    private fun take(position: Position): ServeEvent? {
        val event =
            lock.withLock {
                if (position.reader != reader) return null
                val next = nextFor(position) ?: return null
                position.passed(next)
                readOffset = position.offset
                next
            }
        changed()
        return event
    }

    private fun nextFor(position: Position): ServeEvent? =
        when {
            !position.hasHead && head != null -> {
                headEvent(checkNotNull(head))
            }

            position.offset < firstOffset || position.offset > endOffset -> {
                failed(RefusalReason.ANSWER_LOST, "the answer is not kept from byte ${position.offset} on")
            }

            position.offset < endOffset -> {
                chunkAt(position.offset)
            }

            else -> {
                last
            }
        }

    /** The chunks from [offset] on, joined up to a bound, so that a reader that is behind catches up in few messages. */
    private fun chunkAt(offset: Long): ServeEvent {
        val index = indexOfChunkAt(offset)
        var body = chunks[index].chunk.body.substring((offset - chunks[index].chunk.offset).toInt())
        var tokens = chunks[index].chunk.generatedTokens
        var next = index + 1
        while (next < chunks.size && body.size() + chunks[next].chunk.body.size() <= LONGEST_JOINED_BYTES) {
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

    private fun hasRoom(): Boolean = lock.withLock { last != null || endOffset - readOffset < bounds.readAheadBytes }

    private fun dropOld() {
        while (chunks.isNotEmpty() && endOffset - firstOffset > bounds.retainedBytes) {
            val chunk = chunks.first().chunk
            val end = chunk.offset + chunk.body.size()
            if (end > readOffset) return
            chunks.removeFirst()
            firstOffset = end
        }
    }

    private fun changed() = changes.update { it + 1 }

    private companion object {
        const val LONGEST_JOINED_BYTES = 16 * 1_024
    }

    private class Position(
        val reader: Long,
        var offset: Long,
        var hasHead: Boolean,
    ) {
        fun passed(event: ServeEvent) {
            if (event.hasHead()) hasHead = true
            if (event.hasChunk()) offset = event.chunk.offset + event.chunk.body.size()
        }
    }
}

/** Whether no event follows this one. */
internal val ServeEvent.isLast: Boolean
    get() = hasEnd() || hasFailed() || hasRefused()
