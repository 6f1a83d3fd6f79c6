package toucanrelay.gateway.http

import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.gateway.GatewayMeters
import toucanrelay.gateway.LoopLag
import toucanrelay.gateway.LoopTurn
import toucanrelay.gateway.body.BodyPart
import toucanrelay.gateway.body.IncomingBody
import toucanrelay.gateway.body.TurnQueue
import toucanrelay.gateway.log.EventLog
import toucanrelay.http.DoubtfulFraming
import toucanrelay.platform.PlatformHeaders
import kotlin.random.Random

/**
 * Reads the requests of callers and has them worked on.
 *
 * Each request that was read ends in exactly one way: with an answer, with a refusal, or with a closed connection if its
 * answer has begun or its caller is gone, however the work on it ends.
 */
internal class ExchangeHandler(
    private val acceptor: RequestAcceptor,
    private val register: ConfigurationRegister,
    private val loopLag: LoopLag,
    private val loopTurn: LoopTurn,
    private val turns: TurnQueue,
    private val endings: EndingLog,
    private val meters: GatewayMeters,
    private val log: EventLog,
    private val random: Random,
) {
    /** Whether new requests are refused because too little time is left before the shutdown. */
    var isRefusingNew: Boolean = false

    /** Returns how long a request that is read at [nowMilliseconds] has probably waited, by the lag of the event loop. */
    fun queuedMilliseconds(nowMilliseconds: Long): Long =
        loopLag.millisecondsAt(nowMilliseconds).takeIf { it >= MIN_LAG_MILLISECONDS } ?: 0

    /** Serves [exchange], whose request arrived at [arrivedAtMilliseconds], and ends it in exactly one way. */
    suspend fun serve(exchange: CallerExchange, arrivedAtMilliseconds: Long) {
        try {
            readAndWork(exchange, arrivedAtMilliseconds)
            if (!exchange.hasEnded && !exchange.isDisconnected) endUnended(exchange)
        } catch (_: CallerDisconnected) {
            exchange.isDisconnected = true
            logDisconnect(exchange)
        } catch (failure: Throwable) {
            endAfter(exchange, failure)
        }
    }

    /** Refuses [exchange], whose request could not be decoded. */
    fun refuseInvalid(exchange: CallerExchange) {
        val cause = exchange.request.decoderResult().cause()
        val refusal =
            when (cause) {
                is DoubtfulFraming -> Refusal.of(cause.fault)
                is TooLongHttpLineException -> Refusal.REQUEST_LINE_TOO_LONG
                is TooLongHttpHeaderException -> Refusal.HEADERS_TOO_LARGE
                else -> Refusal.DOUBTFUL_FRAMING
            }
        log.write("request-invalid", "detail" to (cause?.message ?: cause))
        refuse(exchange, refusal)
    }

    private suspend fun readAndWork(exchange: CallerExchange, arrivedAtMilliseconds: Long) {
        val body = readBody(exchange) ?: return refuse(exchange, Refusal.BODY_TOO_LARGE)
        if (isRefusingNew) return refuse(exchange, Refusal.SHUTTING_DOWN)
        if (loopLag.isOverloaded) return refuse(exchange, Refusal.PROCESS_OVERLOADED)
        // Lets the event loop cancel this job if the caller disconnected while its request was queued.
        if (arrivedAtMilliseconds < exchange.readAtMilliseconds) loopTurn.await()
        val work =
            acceptor
                .accept(exchange.request, body, arrivedAtMilliseconds, exchange.responder)
                .getOrElse { return refuse(exchange, it) }
        exchange.work = work
        work.run()
    }

    private fun logDisconnect(exchange: CallerExchange) {
        exchange.work?.logEnd(exchange.connection.closeReason?.label ?: "caller-gone")
    }

    private fun endUnended(exchange: CallerExchange) {
        endings.recordUnended(exchange)
        refuseAfterFailure(exchange)
    }

    /** Ends [exchange], on which [failure] has ended all work. */
    private fun endAfter(exchange: CallerExchange, failure: Throwable) {
        if (exchange.isDisconnected) return logDisconnect(exchange)
        exchange.cut?.let { return endCut(exchange, it) }
        log.write(
            "unexpected-failure",
            "id" to PlatformHeaders.readCallerRequest(exchange.request.headers()).requestId,
            "detail" to failure,
            "at" to failure.stackTrace.firstOrNull(),
        )
        if (!exchange.hasEnded) refuseAfterFailure(exchange)
    }

    private fun endCut(exchange: CallerExchange, cut: Cut) {
        if (!exchange.hasEnded) refuseOrAbort(exchange, cut.refusal, cut.closeReason)
    }

    private fun refuseAfterFailure(exchange: CallerExchange) {
        refuseOrAbort(exchange, Refusal.FAILED_BEFORE_START, CloseReason.UNEXPECTED_FAILURE)
    }

    /** Ends [exchange] for [refusal] if its request was not sent, and closes its connection if its answer has begun. */
    private fun refuseOrAbort(exchange: CallerExchange, refusal: Refusal, reason: CloseReason) {
        if (exchange.responder.hasBegun) {
            exchange.responder.abort(reason)
            exchange.work?.logEnd(reason.label)
        } else {
            refuse(exchange, if (exchange.wasSent) Refusal.ANSWER_LOST else refusal)
        }
    }

    private fun refuse(exchange: CallerExchange, refusal: Refusal) {
        val request = exchange.request
        val caller = PlatformHeaders.readCallerRequest(request.headers())
        val remaining = caller.deadlineMilliseconds ?: DEFAULT_DEADLINE_MILLISECONDS
        exchange.responder.refuse(refusal, caller.requestId, refusal.retryDelayMilliseconds(remaining, random))
        meters.refusals(refusal).increment()
        exchange.work?.let { return it.logEnd(refusal.label) }
        log.write(
            "request",
            "id" to caller.requestId,
            "outcome" to refusal.label,
            "host" to request.authority()?.host(),
            "path" to request.path(),
            "configuration" to register.current?.version,
            "configurationAgeMs" to register.ageMilliseconds(),
        )
    }

    /** Reads the whole body; returns null if it exceeds the configured limit. */
    private suspend fun readBody(exchange: CallerExchange): Buffer? {
        val limit = register.current?.limits?.maxBodyBytes ?: DEFAULT_MAX_BODY_BYTES
        val incoming = receiveBody(exchange.request)
        try {
            val body = Buffer.buffer()
            while (body.length() <= limit) {
                when (val part = incoming.next()) {
                    is BodyPart.Bytes -> body.appendBuffer(part.buffer)
                    is BodyPart.Broken -> throw CallerDisconnected()
                    BodyPart.End -> return body
                }
            }
            return null
        } finally {
            if (!exchange.isRead) discardRest(exchange.request)
        }
    }

    /** Reads on without keeping anything, so that the caller comes to read the response. */
    private fun discardRest(request: HttpServerRequest) {
        request.handler { }
        request.resume()
    }

    private fun receiveBody(request: HttpServerRequest): IncomingBody {
        val incoming = IncomingBody({ request.pause() }, { request.resume() }, turns)
        request.exceptionHandler { incoming.add(BodyPart.Broken(it.toString())) }
        request.handler { incoming.add(BodyPart.Bytes(it)) }
        request.endHandler { incoming.add(BodyPart.End) }
        return incoming
    }

    private companion object {
        const val DEFAULT_DEADLINE_MILLISECONDS = 1_000L
        const val DEFAULT_MAX_BODY_BYTES = 4_194_304
        const val MIN_LAG_MILLISECONDS = 100L
    }
}
