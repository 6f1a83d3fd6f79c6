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
import toucanrelay.wire.Head
import toucanrelay.wire.Header

/** What came over a connection next. */
internal sealed interface Arrival<out T> {
    /** Something came. */
    data class Piece<T>(
        val value: T,
    ) : Arrival<T>

    /** The response ended as its framing says it must. */
    data object End : Arrival<Nothing>

    /** Nothing came for the stated time. */
    data object Silence : Arrival<Nothing>

    /** The connection broke. */
    data class Broken(
        val detail: String,
    ) : Arrival<Nothing>
}

/**
 * A request whose response has not begun; it is sent here, after the handlers of its response are in place, since a part
 * of the body that no handler takes on arrival is gone.
 */
internal class PendingResponse(
    private val request: HttpClientRequest,
    content: Buffer? = null,
) {
    private val begun = CompletableDeferred<Arrival<ResponseBody>>()

    @Volatile
    private var body: ResponseBody? = null

    init {
        request.response().map { ResponseBody(request, it) }.onComplete { result ->
            val body = result.result()
            this.body = body
            begun.complete(if (body == null) Arrival.Broken(result.cause().toString()) else Arrival.Piece(body))
        }
        if (content == null) request.send() else request.send(content)
    }

    /** Waits for the head of the response. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun await(silenceMilliseconds: Long): Arrival<ResponseBody> =
        select {
            begun.onAwait { it }
            onTimeout(silenceMilliseconds) { Arrival.Silence }
        }

    /** Drops the connection unless the response has ended. */
    fun drop() {
        body?.drop() ?: request.reset()
    }
}

/** Reads a response's body piece by piece, no faster than it is asked for. */
internal class ResponseBody(
    private val request: HttpClientRequest,
    private val response: HttpClientResponse,
) {
    private val pieces = Channel<Buffer>(Channel.UNLIMITED)

    @Volatile
    private var hasEnded = false

    init {
        response.pause()
        response.handler { pieces.trySend(it) }
        response.endHandler {
            hasEnded = true
            pieces.close()
            request.connection().close()
        }
        response.exceptionHandler { pieces.close(it) }
        response.fetch(READ_AHEAD_PIECES)
    }

    val status: Int
        get() = response.statusCode()

    val isEventStream: Boolean
        get() = response.getHeader("Content-Type").orEmpty().startsWith("text/event-stream")

    /** Status and headers to pass on. */
    fun head(): Head {
        val head = Head.newBuilder().setStatus(response.statusCode())
        response
            .headers()
            .filter { isPassedOn(it.key) || it.key.equals("content-length", ignoreCase = true) }
            .forEach { head.addHeaders(Header.newBuilder().setName(it.key).setValue(it.value)) }
        return head.build()
    }

    /** Waits for what comes next; all that has come already is joined. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun next(silenceMilliseconds: Long): Arrival<Buffer> {
        val arrival =
            select {
                pieces.onReceiveCatching { arrivalOf(it) }
                onTimeout(silenceMilliseconds) { Arrival.Silence }
            }
        return if (arrival is Arrival.Piece) Arrival.Piece(withMore(arrival.value)) else arrival
    }

    private fun withMore(first: Buffer): Buffer {
        val joined = first.copy()
        var taken = 1L
        while (true) {
            joined.appendBuffer(pieces.tryReceive().getOrNull() ?: break)
            taken += 1
        }
        response.fetch(taken)
        return joined
    }

    /** Drops the connection unless the response has ended. */
    fun drop() {
        if (!hasEnded) request.reset()
    }

    private fun arrivalOf(result: ChannelResult<Buffer>): Arrival<Buffer> {
        val piece = result.getOrNull()
        val cause = result.exceptionOrNull()
        return when {
            piece != null -> Arrival.Piece(piece)
            cause != null -> Arrival.Broken(cause.toString())
            else -> Arrival.End
        }
    }

    private companion object {
        /** Pieces that may wait to be read. */
        const val READ_AHEAD_PIECES = 16L
    }
}
