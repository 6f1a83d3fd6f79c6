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
 * Writes one answer to a caller over HTTP.
 *
 * Server-sent events are forwarded as they arrive, but only whole events. Any other answer is buffered until it is
 * complete or larger than [MAX_BUFFERED_BYTES], so that the caller gets a problem document if it fails before that.
 *
 * @param vertx provides timers.
 * @param request the caller's request.
 * @param id identifier of the request.
 * @param onFirstByte called before the first bytes are sent to the caller.
 * @param beforeFinish called before the end of the answer is sent; its argument is the answer if it was buffered whole,
 * else null.
 */
internal class CallerAnswerWriter(
    private val vertx: Vertx,
    private val request: HttpServerRequest,
    private val id: RequestId,
    private val onFirstByte: () -> Unit,
    private val beforeFinish: suspend (RecordedAnswer?) -> Unit,
) : AnswerWriter {
    private val response = request.response()
    private var head: Head? = null
    private var events: EventStreamBuffer? = null
    private var buffered = Buffer.buffer()

    override val isStarted: Boolean
        get() = response.headWritten()

    override suspend fun setHead(head: Head) {
        this.head = head
        if (head.isEventStream()) events = EventStreamBuffer()
    }

    override suspend fun writeBody(bytes: ByteString) {
        val eventBuffer = events
        if (eventBuffer != null) {
            write(Buffer.buffer(eventBuffer.accept(bytes.toByteArray())))
        } else if (isStarted) {
            write(Buffer.buffer(bytes.toByteArray()))
        } else {
            buffered.appendBytes(bytes.toByteArray())
            if (buffered.length() > MAX_BUFFERED_BYTES) write(buffered).also { buffered = Buffer.buffer() }
        }
    }

    override suspend fun finish() {
        if (response.closed() && !isStarted) return beforeFinish(recorded(buffered))
        val rest = events?.let { Buffer.buffer(it.finish()) } ?: buffered
        if (isStarted) {
            beforeFinish(null)
            response.end(rest)
        } else {
            beforeFinish(recorded(rest))
            writeHead(isChunked = false)
            response.end(rest)
        }
    }

    override fun reset() {
        head = null
        events = null
        buffered = Buffer.buffer()
    }

    /** Reports [refusal] to the caller: as a problem document, an error event, or by closing the connection. */
    fun fail(refusal: Refusal) {
        if (response.ended() || response.closed()) return
        val problem = Problem.of(refusal, id)
        when {
            !isStarted -> writeProblem(problem, refusal)
            events?.hasSplitEvent == true -> response.end("\n\n" + errorEvent(problem))
            events != null -> response.end(errorEvent(problem))
            else -> request.connection().close()
        }
    }

    /** Writes the recorded answer of an order. */
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
        val receivedHead = checkNotNull(head) { "the answer has no head yet" }
        response.setStatusCode(receivedHead.status)
        receivedHead.headersList.filter { isForwarded(it.name) }.forEach { response.headers().add(it.name, it.value) }
        response.putHeader(REQUEST_ID, id.value)
        response.setChunked(isChunked)
        onFirstByte()
    }

    private fun recorded(body: Buffer): RecordedAnswer {
        val receivedHead = checkNotNull(head) { "the answer has no head yet" }
        val headers =
            receivedHead.headersList
                .filter {
                    isForwarded(
                        it.name,
                    )
                }.map { RecordedHeader(it.name, it.value) }
                .toPersistentList()
        return RecordedAnswer(receivedHead.status, headers, body.bytes)
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
        const val MAX_BUFFERED_BYTES = 262_144
    }
}
