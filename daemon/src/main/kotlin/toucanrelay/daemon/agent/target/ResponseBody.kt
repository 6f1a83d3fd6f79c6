package toucanrelay.daemon.agent.target

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import toucanrelay.core.http.ResponseStatus
import toucanrelay.http.AnswerFramingCheck
import toucanrelay.http.ConnectionChannels
import toucanrelay.wire.Head
import toucanrelay.wire.Header
import java.io.IOException

/** Result of one read from a connection. */
internal sealed interface ReadResult<out T> {
    /** Data arrived. */
    data class Received<T>(
        val value: T,
    ) : ReadResult<T>

    /** The response is complete according to its framing. */
    data object End : ReadResult<Nothing>

    /** Nothing arrived within the timeout. */
    data object Timeout : ReadResult<Nothing>

    /** The connection broke. */
    data class Failed(
        val detail: String,
    ) : ReadResult<Nothing>
}

/**
 * A request that waits for the head of its response.
 *
 * The request is sent only after the response handlers are installed, since the parts of a body that arrive without a
 * handler are lost.
 */
internal class PendingResponse(
    private val request: HttpClientRequest,
    content: Buffer? = null,
) {
    private val head = CompletableDeferred<ReadResult<ResponseBody>>()

    @Volatile
    private var body: ResponseBody? = null

    @Volatile
    private var isSent = false

    init {
        checkFraming()
        request.response().map { ResponseBody(request, it) { isSent } }.onComplete { result ->
            val body = result.result()
            this.body = body
            head.complete(if (body == null) ReadResult.Failed(result.cause().toString()) else readHead(body))
        }
        val sent = if (content == null) request.end() else request.end(content)
        sent.onSuccess { isSent = true }
    }

    /** Fails the connection, which carries only this request, if it is in doubt where the answer ends. */
    private fun checkFraming() {
        val check = AnswerFramingCheck()
        check.attach(ConnectionChannels.ofClient(request.connection()).pipeline())
        check.recordRequest(request.method)
    }

    private fun readHead(body: ResponseBody): ReadResult<ResponseBody> =
        if (ResponseStatus.isFinal(body.status)) {
            ReadResult.Received(body)
        } else {
            ReadResult.Failed("response with status ${body.status}, which no final response has")
        }

    /** Waits for the head of the response, for at most [silenceMilliseconds]. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun await(silenceMilliseconds: Long): ReadResult<ResponseBody> =
        select {
            head.onAwait { it }
            onTimeout(silenceMilliseconds) { ReadResult.Timeout }
        }

    /** Resets the connection unless the response has ended. */
    fun abort() {
        body?.abort() ?: request.reset()
    }
}

/**
 * Reads a response's body buffer by buffer, with backpressure on the connection.
 *
 * @param isRequestSent returns whether the whole request was sent. A target that ends the connection before resets it, so
 *   that a body without a length or chunks, which ends with the connection, is not complete.
 */
internal class ResponseBody(
    private val request: HttpClientRequest,
    private val response: HttpClientResponse,
    private val isRequestSent: () -> Boolean,
) {
    private val buffers = Channel<Buffer>(Channel.UNLIMITED)

    @Volatile
    private var hasEnded = false

    init {
        response.pause()
        response.handler { buffers.trySend(it) }
        response.endHandler {
            hasEnded = true
            if (isFramed || isRequestSent()) buffers.close() else buffers.close(IOException(CUT_DETAIL))
            request.connection().close()
        }
        response.exceptionHandler { buffers.close(it) }
        response.fetch(READ_AHEAD_BUFFERS)
    }

    private val isFramed: Boolean
        get() =
            !ResponseStatus.hasBody(status) ||
                response.headers().contains("Content-Length") ||
                response.headers().contains("Transfer-Encoding")

    val status: Int
        get() = response.statusCode()

    val isEventStream: Boolean
        get() = response.getHeader("Content-Type").orEmpty().startsWith("text/event-stream")

    /** Returns the status and the headers to forward. */
    fun head(): Head {
        val head = Head.newBuilder().setStatus(response.statusCode())
        response
            .headers()
            .filter { isForwarded(it.key) || it.key.equals("content-length", ignoreCase = true) }
            .forEach { head.addHeaders(Header.newBuilder().setName(it.key).setValue(it.value)) }
        return head.build()
    }

    /** Waits for the next buffer, for at most [silenceMilliseconds]; joins all buffers that have arrived already. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun next(silenceMilliseconds: Long): ReadResult<Buffer> {
        val result =
            select {
                buffers.onReceiveCatching { toReadResult(it) }
                onTimeout(silenceMilliseconds) { ReadResult.Timeout }
            }
        return if (result is ReadResult.Received) ReadResult.Received(joinAvailable(result.value)) else result
    }

    private fun joinAvailable(first: Buffer): Buffer {
        val joined = first.copy()
        var count = 1L
        while (true) {
            joined.appendBuffer(buffers.tryReceive().getOrNull() ?: break)
            count += 1
        }
        response.fetch(count)
        return joined
    }

    /** Resets the connection unless the response has ended. */
    fun abort() {
        if (!hasEnded) request.reset()
    }

    private fun toReadResult(result: ChannelResult<Buffer>): ReadResult<Buffer> {
        val buffer = result.getOrNull()
        val cause = result.exceptionOrNull()
        return when {
            buffer != null -> ReadResult.Received(buffer)
            cause != null -> ReadResult.Failed(cause.toString())
            else -> ReadResult.End
        }
    }

    private companion object {
        /** Maximum number of buffers that may wait to be read. */
        const val READ_AHEAD_BUFFERS = 16L
        const val CUT_DETAIL = "the connection ended before the whole request was sent"
    }
}
