package toucanrelay.gateway.target

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientConnection
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import toucanrelay.core.time.Clock
import toucanrelay.platform.PlatformHeaders

/** A request as it goes to a target. */
internal class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
)

/** One connection to a target, which carries one request at a time. */
internal class TargetConnection(
    private val connection: HttpClientConnection,
    private val clock: Clock,
    private val heard: () -> Unit,
) {
    private var keepAliveMilliseconds = DEFAULT_KEEP_ALIVE_MILLISECONDS
    private var idleSinceMilliseconds = clock.nowMilliseconds()

    /** Whether the connection can carry nothing more. */
    var isClosed: Boolean = false
        private set

    /** Whether the last answer forbids to use the connection again. */
    private var isLastUse = false

    init {
        connection.closeHandler { isClosed = true }
        connection.exceptionHandler { isClosed = true }
    }

    /** How long the connection has carried nothing. */
    val idleMilliseconds: Long
        get() = clock.nowMilliseconds() - idleSinceMilliseconds

    /** Whether the connection may carry another request, when one idle for [longestIdleMilliseconds] is too old. */
    fun isReusable(longestIdleMilliseconds: Long): Boolean =
        !isClosed && !isLastUse && idleMilliseconds < minOf(longestIdleMilliseconds, keepAliveMilliseconds)

    /** Sends [outgoing] and returns the answer when its headers are there; throws [TargetFailure.Broken]. */
    suspend fun exchange(outgoing: OutgoingRequest): TargetAnswer {
        val answer = CompletableDeferred<TargetAnswer>()
        try {
            val options = RequestOptions().setMethod(outgoing.method).setURI(outgoing.uri)
            val request = connection.request(options).coAwait()
            request.headers().setAll(outgoing.headers)
            request.exceptionHandler { answer.completeExceptionally(it) }
            request.response().onComplete(
                { response -> answer.complete(receive(response)) },
                { cause -> answer.completeExceptionally(cause) },
            )
            send(request, outgoing)
            return answer.await()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            throw TargetFailure.Broken(failure.message ?: failure.javaClass.simpleName)
        }
    }

    /** Notes that the answer was read to its end. */
    fun noteIdle() {
        idleSinceMilliseconds = clock.nowMilliseconds()
    }

    /** Closes the connection, which makes the target drop a request that it carries. */
    fun close() {
        isClosed = true
        connection.close()
    }

    private fun send(request: HttpClientRequest, outgoing: OutgoingRequest) {
        if (outgoing.body.length() == 0 && outgoing.method == HttpMethod.GET) {
            request.end()
        } else {
            request.putHeader("Content-Length", outgoing.body.length().toString())
            request.end(outgoing.body)
        }
    }

    private fun receive(response: HttpClientResponse): TargetAnswer {
        val body = Channel<BodyPart>(Channel.UNLIMITED)
        var isBroken = false
        heard()
        response.handler { bytes ->
            heard()
            body.trySend(BodyPart.Bytes(bytes))
        }
        response.exceptionHandler { cause ->
            isBroken = true
            body.trySend(BodyPart.Broken(cause.message ?: cause.javaClass.simpleName))
        }
        response.endHandler { if (!isBroken) body.trySend(BodyPart.End) }
        noteKeepAlive(response.headers())
        val described = PlatformHeaders.readTargetResponse(response.statusCode(), response.headers())
        return TargetAnswer(response.statusCode(), response.headers(), described, body)
    }

    private fun noteKeepAlive(headers: MultiMap) {
        if (headers.get("Connection")?.lowercase()?.contains("close") == true) isLastUse = true
        val isFramed = headers.contains("Content-Length") || headers.contains("Transfer-Encoding")
        if (!isFramed) isLastUse = true
        val seconds =
            headers
                .get("Keep-Alive")
                ?.let { TIMEOUT_PARAMETER.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
        if (seconds != null) keepAliveMilliseconds = seconds * MILLISECONDS_IN_A_SECOND - KEEP_ALIVE_MARGIN_MILLISECONDS
    }

    private companion object {
        const val DEFAULT_KEEP_ALIVE_MILLISECONDS = 4_000L
        const val KEEP_ALIVE_MARGIN_MILLISECONDS = 400L
        const val MILLISECONDS_IN_A_SECOND = 1_000L
        val TIMEOUT_PARAMETER = Regex("timeout=(\\d+)")
    }
}
