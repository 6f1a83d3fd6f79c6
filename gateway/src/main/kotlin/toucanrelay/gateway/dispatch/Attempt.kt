package toucanrelay.gateway.dispatch

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import toucanrelay.core.configuration.RouteKind
import toucanrelay.core.placement.EngineSpeed
import toucanrelay.core.retry.TargetOutcome
import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.time.Clock
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.http.EventSplitter
import toucanrelay.gateway.http.ServerSentEvent
import toucanrelay.gateway.target.BodyPart
import toucanrelay.gateway.target.OutgoingRequest
import toucanrelay.gateway.target.TargetAnswer
import toucanrelay.gateway.target.TargetConnection
import toucanrelay.gateway.target.TargetFailure
import toucanrelay.platform.GatewayHeaders
import toucanrelay.platform.PlatformHeaders

/** A whole answer that was not passed on yet. */
internal class WholeAnswer(
    val status: Int,
    val headers: MultiMap,
    val body: Buffer,
)

/** How an attempt ended. */
internal sealed interface AttemptResult {
    /** The caller has its whole answer. */
    data object Answered : AttemptResult

    /** The caller has no whole answer; [failure] is the target's own failure, if there is one to pass on. */
    class Unanswered(
        val outcome: TargetOutcome,
        val detail: String,
        val failure: WholeAnswer? = null,
    ) : AttemptResult
}

/** Sends a request to one target and passes its answer on. */
internal class Attempt(
    private val request: CallerRequest,
    private val ticket: Ticket,
    private val progress: RequestProgress,
    private val responder: CallerResponder,
    private val clock: Clock,
    private val speed: EngineSpeed?,
    private val onReplaced: (TargetRegistration) -> Unit,
) {
    private var connection: TargetConnection? = null
    private var isWhole = false

    /** When the request was sent. */
    var sentAtMilliseconds: Long = clock.nowMilliseconds()
        private set

    /** Whether the target's silence may be answered by a run elsewhere. */
    val mayRunElsewhere: Boolean
        get() = request.route.mayRunAgain && progress.attempts < request.route.maximumAttempts

    /** How long a sound target may send nothing at all while it works on the request. */
    val longestSilenceMilliseconds: Double
        get() = SHORTEST_SILENCE_MILLISECONDS + expectedMilliseconds + silenceOfWork()

    /** The target's state. */
    val target = ticket.target

    private val expectedMilliseconds: Double
        get() = ticket.placement.expectedMilliseconds

    /** Runs the attempt; when it is cancelled, the target drops the request. */
    suspend fun run(): AttemptResult {
        try {
            val opened = target.connections.acquire(longestIdle())
            connection = opened
            return exchange(opened)
        } catch (failure: TargetFailure.NotSent) {
            target.health.recordUnreachable()
            return AttemptResult.Unanswered(TargetOutcome.NOT_SENT, failure.message.orEmpty())
        } catch (failure: TargetFailure.Broken) {
            target.health.recordFailure()
            return AttemptResult.Unanswered(TargetOutcome.UNKNOWN, failure.message.orEmpty())
        } finally {
            giveBack()
            ticket.release()
        }
    }

    /** Breaks the attempt off because the target is silent. */
    fun abandon() {
        target.health.recordUnreachable()
        connection?.close()
    }

    private suspend fun exchange(opened: TargetConnection): AttemptResult {
        sentAtMilliseconds = clock.nowMilliseconds()
        progress.attempts++
        progress.isAtTarget = true
        val answer = opened.exchange(outgoing())
        val spoilt = spoiltBy(answer)
        return when {
            spoilt != null -> unknown(spoilt)
            answer.described.isNotExecuted -> readRejection(answer)
            request.route.kind == RouteKind.STREAMING && answer.isSuccess -> relayStream(answer)
            else -> relayWhole(answer)
        }
    }

    private fun outgoing(): OutgoingRequest {
        val system =
            GatewayHeaders(
                target = target.id,
                remainingMilliseconds = maxOf(1, request.deadlineAtMilliseconds - clock.nowMilliseconds()),
                organisation = request.organisation?.id,
                lastEventId = progress.lastEventId,
            )
        return OutgoingRequest(
            request.method,
            request.uri,
            PlatformHeaders.buildTargetRequest(request.headers, system),
            request.body,
        )
    }

    /** Why [answer] is not the target's own answer to this request; null when it is. */
    private fun spoiltBy(answer: TargetAnswer): String? {
        val described = answer.described
        return when {
            described.requestId != null && described.requestId != request.id -> "answer to another request"
            described.isNotExecuted -> null
            !described.isSigned -> "answer without a seal, status ${answer.status}"
            described.isEncoded -> "answer with a content encoding"
            else -> null
        }
    }

    private suspend fun readRejection(answer: TargetAnswer): AttemptResult {
        if (readWhole(answer) != null) isWhole = true
        progress.isAtTarget = false
        if (answer.described.isMisdirected) onReplaced(ticket.registered.registration)
        return AttemptResult.Unanswered(TargetOutcome.REJECTED, "rejected with status ${answer.status}")
    }

    private suspend fun relayWhole(answer: TargetAnswer): AttemptResult {
        val body = readWhole(answer) ?: return unknown("answer broke off, status ${answer.status}")
        isWhole = true
        progress.isAtTarget = false
        ticket.noteFirstEvent()
        if (answer.isSuccess) {
            target.health.recordSuccess()
            noteFirstByte()
            responder.relay(answer.status, answer.headers, body)
            return AttemptResult.Answered
        }
        if (answer.status >= FIRST_SERVER_ERROR) target.health.recordFailure()
        val whole = WholeAnswer(answer.status, answer.headers, body)
        return AttemptResult.Unanswered(TargetOutcome.FAILED, "failed with status ${answer.status}", whole)
    }

    private suspend fun relayStream(answer: TargetAnswer): AttemptResult {
        val splitter = EventSplitter()
        for (part in answer.body) {
            when (part) {
                is BodyPart.Bytes -> {
                    for (event in splitter.feed(part.buffer)) {
                        val wrong = relayEvent(answer, event)
                        if (wrong != null) return unknown(wrong)
                    }
                }

                is BodyPart.Broken -> {
                    return unknown("stream broke off: ${part.detail}")
                }

                BodyPart.End -> {
                    return endStream(splitter)
                }
            }
        }
        return unknown("stream ended without an end")
    }

    /** Passes [event] on; returns what is wrong with it, if anything is. */
    private suspend fun relayEvent(answer: TargetAnswer, event: ServerSentEvent): String? {
        val id = event.id
        val last = progress.lastEventId
        if (id != null && last != null) {
            if (id <= last) return if (responder.hasBegun) "event $id again after $last" else null
            if (id > last + 1) return "event $id after $last"
        }
        if (!responder.hasBegun) responder.beginStream(answer.status, answer.headers)
        noteFirstEvent()
        if (id != null) progress.lastEventId = id
        progress.events++
        responder.writeChunk(event.bytes)
        return null
    }

    private fun endStream(splitter: EventSplitter): AttemptResult {
        if (splitter.hasPartialEvent || !responder.hasBegun) return unknown("stream ended within an event")
        isWhole = true
        progress.isAtTarget = false
        target.health.recordSuccess()
        responder.endStream()
        return AttemptResult.Answered
    }

    private fun noteFirstEvent() {
        noteFirstByte()
        ticket.noteFirstEvent()
        if (hasSeenEvent) return
        hasSeenEvent = true
        speed?.observe(ticket.tokensAhead, clock.nowMilliseconds() - sentAtMilliseconds)
    }

    private var hasSeenEvent = false

    private fun noteFirstByte() {
        if (progress.firstByteAtMilliseconds == null) progress.firstByteAtMilliseconds = clock.nowMilliseconds()
    }

    /** The whole body; null when it broke off or is too large to hold. */
    private suspend fun readWhole(answer: TargetAnswer): Buffer? {
        val whole = Buffer.buffer()
        for (part in answer.body) {
            when (part) {
                is BodyPart.Bytes -> whole.appendBuffer(part.buffer)
                is BodyPart.Broken -> return null
                BodyPart.End -> return whole
            }
            if (whole.length() > LARGEST_WHOLE_BODY_BYTES) return null
        }
        return null
    }

    private fun unknown(detail: String): AttemptResult {
        target.health.recordFailure()
        return AttemptResult.Unanswered(TargetOutcome.UNKNOWN, detail)
    }

    /** A plain service says nothing while it works, unlike an engine, which sends events for someone all the time. */
    private fun silenceOfWork(): Double =
        if (request.prompt != null) 0.0 else request.route.latencyObjectiveMilliseconds * OBJECTIVES_OF_SILENT_WORK

    private fun giveBack() {
        val used = connection ?: return
        if (isWhole) target.connections.release(used) else target.connections.discard(used)
    }

    /** A connection that the target closes while a request is under way leaves the outcome unknown. */
    private fun longestIdle(): Long =
        if (request.route.mayRunAgain) LONGEST_IDLE_MILLISECONDS else LONGEST_IDLE_AT_MOST_ONCE_MILLISECONDS

    private companion object {
        const val SHORTEST_SILENCE_MILLISECONDS = 900.0
        const val OBJECTIVES_OF_SILENT_WORK = 2.0
        const val FIRST_SERVER_ERROR = 500
        const val LARGEST_WHOLE_BODY_BYTES = 8 * 1_024 * 1_024
        const val LONGEST_IDLE_MILLISECONDS = 4_000L
        const val LONGEST_IDLE_AT_MOST_ONCE_MILLISECONDS = 500L
    }
}
