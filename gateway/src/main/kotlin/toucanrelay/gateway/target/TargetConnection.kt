package toucanrelay.gateway.target

import io.netty.handler.codec.TooLongFrameException
import io.vertx.core.Future
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientConnection
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import toucanrelay.core.time.Clock
import toucanrelay.gateway.body.BodyPart
import toucanrelay.gateway.body.IncomingBody
import toucanrelay.gateway.body.ReadLimit
import toucanrelay.gateway.body.TurnQueue
import toucanrelay.http.AnswerFramingCheck
import toucanrelay.http.ConnectionChannels
import toucanrelay.platform.PlatformHeaders

/** A request as it is sent to a target. */
internal class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
)

/** An HTTP connection to a target that carries one request at a time. */
internal class TargetConnection(
    private val connection: HttpClientConnection,
    private val clock: Clock,
    private val turns: TurnQueue,
    private val onReceived: () -> Unit,
) {
    private var keepAliveMilliseconds = DEFAULT_KEEP_ALIVE_MILLISECONDS
    private var idleSinceMilliseconds = clock.nowMilliseconds()

    /** Whether the connection is closed. */
    var isClosed: Boolean = false
        private set

    /** Whether the connection carries no further request, since the target closes it or has sent stray bytes. */
    private var isLastExchange = false

    /** Whether the handlers of the connection were set up, which its first request gives access to. */
    private var isPrepared = false

    private val strayBytes = StrayByteDetector { isLastExchange = true }
    private val framingCheck = AnswerFramingCheck()

    init {
        connection.closeHandler { isClosed = true }
        connection.exceptionHandler { isClosed = true }
    }

    /** Time since the last answer was read completely. */
    val idleMilliseconds: Long
        get() = clock.nowMilliseconds() - idleSinceMilliseconds

    /** Returns whether the connection can carry another request and was idle for less than [maxIdleMilliseconds]. */
    fun isReusable(maxIdleMilliseconds: Long): Boolean =
        !isClosed && !isLastExchange && idleMilliseconds < minOf(maxIdleMilliseconds, keepAliveMilliseconds)

    /**
     * Sends [outgoing] and returns the answer once its headers have arrived.
     *
     * Throws [TargetFailure.Broken] or [TargetFailure.TooLarge].
     */
    suspend fun exchange(outgoing: OutgoingRequest): TargetAnswer {
        val answer = CompletableDeferred<TargetAnswer>()
        try {
            val options = RequestOptions().setMethod(outgoing.method).setURI(outgoing.uri)
            val request = connection.request(options).coAwait()
            if (!isPrepared) prepare(request.connection())
            strayBytes.recordRequest()
            framingCheck.recordRequest(outgoing.method)
            request.headers().setAll(outgoing.headers)
            request.exceptionHandler { answer.completeExceptionally(it) }
            limitInformationalResponses(request, answer)
            val sent = send(request, outgoing)
            request.response().onComplete(
                { response ->
                    runCatching { receive(response, sent) }.fold(answer::complete, answer::completeExceptionally)
                },
                { cause -> answer.completeExceptionally(cause) },
            )
            return answer.await()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: TargetFailure) {
            throw failure
        } catch (_: TooLongFrameException) {
            throw TargetFailure.TooLarge(AnswerPart.HEAD)
        } catch (failure: Exception) {
            throw TargetFailure.Broken(failure.message ?: failure.javaClass.simpleName)
        }
    }

    private fun prepare(opened: HttpConnection) {
        isPrepared = true
        val channel = ConnectionChannels.ofClient(opened)
        ReadLimit.applyTo(channel)
        framingCheck.attach(channel.pipeline())
        strayBytes.attach(channel.pipeline())
    }

    /** Records that the answer was read completely. */
    fun markIdle() {
        idleSinceMilliseconds = clock.nowMilliseconds()
    }

    /** Closes the connection, which makes the target abort a request in flight. */
    fun close() {
        isClosed = true
        connection.close()
    }

    /** Fails [answer] if the target sends informational responses without end. */
    private fun limitInformationalResponses(request: HttpClientRequest, answer: CompletableDeferred<TargetAnswer>) {
        var received = 0
        val count = {
            received++
            if (received > MAX_INFORMATIONAL_RESPONSES) {
                answer.completeExceptionally(TargetFailure.TooLarge(AnswerPart.HEAD))
            }
        }
        request.continueHandler { count() }
        request.earlyHintsHandler { count() }
    }

    /** Sends [outgoing]; the result succeeds once it was handed to the operating system as a whole. */
    private fun send(request: HttpClientRequest, outgoing: OutgoingRequest): Future<Void> {
        if (outgoing.body.length() == 0 && outgoing.method == HttpMethod.GET) return request.end()
        request.putHeader("Content-Length", outgoing.body.length().toString())
        return request.end(outgoing.body)
    }

    private fun receive(response: HttpClientResponse, sent: Future<Void>): TargetAnswer {
        val body = IncomingBody({ response.pause() }, { response.resume() }, turns)
        var isBroken = false
        onReceived()
        response.handler { bytes ->
            onReceived()
            body.add(BodyPart.Bytes(bytes))
        }
        response.exceptionHandler { cause ->
            isBroken = true
            body.add(BodyPart.Broken(cause.message ?: cause.javaClass.simpleName))
        }
        val parsedHeaders = PlatformHeaders.readTargetResponse(response.statusCode(), response.headers())
        val answer = TargetAnswer(response.statusCode(), response.headers(), parsedHeaders, body)
        response.endHandler { if (!isBroken) body.add(AnswerEnd.of(answer.isFramed, sent.succeeded())) }
        if (!answer.isFramed) isLastExchange = true
        readKeepAlive(response.headers())
        return answer
    }

    private fun readKeepAlive(headers: MultiMap) {
        if (headers.get("Connection")?.lowercase()?.contains("close") == true) isLastExchange = true
        val seconds =
            headers
                .get("Keep-Alive")
                ?.let { TIMEOUT_PARAMETER.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
                ?.coerceAtMost(MAX_KEEP_ALIVE_SECONDS)
        if (seconds != null) keepAliveMilliseconds = seconds * MILLISECONDS_PER_SECOND - KEEP_ALIVE_MARGIN_MILLISECONDS
    }

    private companion object {
        const val MAX_INFORMATIONAL_RESPONSES = 16
        const val DEFAULT_KEEP_ALIVE_MILLISECONDS = 4_000L
        const val MAX_KEEP_ALIVE_SECONDS = 86_400L
        const val KEEP_ALIVE_MARGIN_MILLISECONDS = 400L
        const val MILLISECONDS_PER_SECOND = 1_000L
        val TIMEOUT_PARAMETER = Regex("timeout=(\\d+)")
    }
}
