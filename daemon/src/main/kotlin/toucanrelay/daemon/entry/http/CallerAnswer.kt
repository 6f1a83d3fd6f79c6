package toucanrelay.daemon.entry.http

import com.google.protobuf.ByteString
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.suspendCancellableCoroutine
import toucanrelay.core.identity.RequestId
import toucanrelay.core.retry.EventStreamBuffer
import toucanrelay.core.retry.RetryAfter
import toucanrelay.daemon.entry.dispatch.AnswerWriter
import toucanrelay.daemon.order.RecordedAnswer
import toucanrelay.daemon.order.RecordedHeader
import toucanrelay.wire.Head
import kotlin.coroutines.resume
import kotlin.random.Random

/**
 * Writes one answer to a caller.
 *
 * Server-sent events are passed on as they arrive, cut at whole events. Any other answer is held until it is whole or
 * larger than [MAXIMUM_HELD_BYTES], so that the caller can be told truthfully when it cannot be completed.
 *
 * @param vertx timers of the event loop.
 * @param request the caller's request.
 * @param id name of the request.
 * @param onFirstByte called when the caller is given the first part.
 * @param beforeFinish called with an answer that was held whole, before the caller gets it.
 */
internal class CallerAnswer(
    private val vertx: Vertx,
    private val request: HttpServerRequest,
    private val id: RequestId,
    private val onFirstByte: () -> Unit,
    private val beforeFinish: suspend (RecordedAnswer?) -> Unit,
) : AnswerWriter {
    private val response = request.response()
    private var head: Head? = null
    private var tail: EventStreamBuffer? = null
    private var held = Buffer.buffer()

    override val isStarted: Boolean
        get() = response.headWritten()

    override suspend fun head(head: Head) {
        this.head = head
        if (head.isEventStream()) tail = EventStreamBuffer()
    }

    override suspend fun body(bytes: ByteString) {
        val events = tail
        if (events != null) {
            write(Buffer.buffer(events.accept(bytes.toByteArray())))
        } else if (isStarted) {
            write(Buffer.buffer(bytes.toByteArray()))
        } else {
            held.appendBytes(bytes.toByteArray())
            if (held.length() > MAXIMUM_HELD_BYTES) write(held).also { held = Buffer.buffer() }
        }
    }

    override suspend fun finish() {
        if (response.closed() && !isStarted) return beforeFinish(recorded(held))
        val rest = tail?.let { Buffer.buffer(it.finish()) } ?: held
        if (isStarted) {
            beforeFinish(null)
            response.end(rest)
        } else {
            beforeFinish(recorded(rest))
            writeHead(isChunked = false)
            response.end(rest)
        }
    }

    override fun restart() {
        head = null
        tail = null
        held = Buffer.buffer()
    }

    /** Tells the caller that there is no answer, or that the one begun cannot be completed. */
    fun fail(refusal: Refusal) {
        if (response.ended() || response.closed()) return
        val problem = Problem.of(refusal, id)
        when {
            !isStarted -> writeProblem(problem, refusal)
            tail?.hasSplitEvent == true -> response.end("\n\n" + errorEvent(problem))
            tail != null -> response.end(errorEvent(problem))
            else -> request.connection().close()
        }
    }

    /** Writes the recorded outcome of an order. */
    fun replay(answer: RecordedAnswer) {
        if (response.closed()) return
        response.setStatusCode(answer.status)
        answer.headers.forEach { response.headers().add(it.name, it.value) }
        response.putHeader(REQUEST_ID, id.value)
        response.end(Buffer.buffer(answer.body))
    }

    private fun errorEvent(problem: Problem) = "event: error\ndata: ${problem.toJson()}\n\n"

    private fun writeProblem(problem: Problem, refusal: Refusal) {
        response.setStatusCode(problem.status)
        response.putHeader("Content-Type", Problem.MEDIA_TYPE)
        response.putHeader(REQUEST_ID, id.value)
        RetryAfter.seconds(refusal.reason, Random.Default)?.let { response.putHeader("Retry-After", it.toString()) }
        val isBodyRead = request.isEnded
        if (!isBodyRead) response.putHeader("Connection", "close")
        response.end(problem.toJson())
        if (!isBodyRead) request.discardThenClose(vertx)
    }

    private suspend fun write(buffer: Buffer) {
        if (buffer.length() == 0 || response.closed()) return
        if (!isStarted) writeHead(isChunked = true)
        response.write(buffer)
        if (response.writeQueueFull()) awaitDrained()
    }

    private suspend fun awaitDrained() =
        suspendCancellableCoroutine { continuation ->
            response.drainHandler {
                response.drainHandler(null)
                if (continuation.isActive) continuation.resume(Unit)
            }
            if (!response.writeQueueFull() && continuation.isActive) {
                response.drainHandler(null)
                continuation.resume(Unit)
            }
        }

    private fun writeHead(isChunked: Boolean) {
        val known = checkNotNull(head) { "an answer begins with its head" }
        response.setStatusCode(known.status)
        known.headersList.filter { isForwarded(it.name) }.forEach { response.headers().add(it.name, it.value) }
        response.putHeader(REQUEST_ID, id.value)
        response.setChunked(isChunked)
        onFirstByte()
    }

    private fun recorded(body: Buffer): RecordedAnswer {
        val known = checkNotNull(head) { "an answer begins with its head" }
        val headers =
            known.headersList
                .filter {
                    isForwarded(
                        it.name,
                    )
                }.map { RecordedHeader(it.name, it.value) }
                .toPersistentList()
        return RecordedAnswer(known.status, headers, body.bytes)
    }

    private fun Head.isEventStream(): Boolean =
        headersList.any {
            it.name.equals(
                "Content-Type",
                ignoreCase = true,
            ) && it.value.startsWith("text/event-stream")
        }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val MAXIMUM_HELD_BYTES = 262_144
    }
}
