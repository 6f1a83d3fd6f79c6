package toucanrelay.gateway.dispatch

import toucanrelay.core.configuration.RouteKind
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.placement.EngineSpeed
import toucanrelay.core.retry.TargetOutcome
import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.time.Clock
import toucanrelay.gateway.body.AnswerMemory
import toucanrelay.gateway.body.IncomingBody
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.target.AnswerPart
import toucanrelay.gateway.target.OutgoingRequest
import toucanrelay.gateway.target.TargetAnswer
import toucanrelay.gateway.target.TargetConnection
import toucanrelay.gateway.target.TargetFailure
import toucanrelay.platform.GatewayHeaders
import toucanrelay.platform.PlatformHeaders

/**
 * Sends a request to one target and passes the answer on to the caller.
 *
 * @property reservation the capacity at the target that the attempt uses.
 * @param reasonNotToSend returns why the target must not get the request any more, or null if it may; called right
 *   before the request is sent, since opening a connection takes time.
 * @param onFirstEvent called before the first event is passed on that this attempt brings.
 * @param claim called before a part of the answer is passed on, so that no other attempt at the request continues.
 */
internal class Attempt(
    private val request: CallerRequest,
    val reservation: Reservation,
    private val progress: RequestProgress,
    private val responder: CallerResponder,
    private val clock: Clock,
    private val speed: EngineSpeed?,
    private val statements: TargetStatements,
    private val memory: AnswerMemory.Share,
    private val reasonNotToSend: () -> String?,
    private val onFirstEvent: (SoftwareVersion) -> Unit,
    private val onReplaced: (TargetRegistration) -> Unit,
    private val claim: (Attempt) -> Unit,
) : HedgeableAttempt {
    private var connection: TargetConnection? = null
    private var answerBody: IncomingBody? = null

    /** Whether the answer was read completely, so that the connection can carry another request. */
    private var isComplete = false
    private var streamRelay: StreamRelay? = null

    override var sentAtMilliseconds: Long = clock.nowMilliseconds()
        private set

    override val targetHeardAtMilliseconds: Long
        get() = target.health.lastReceivedAtMilliseconds

    override val isPaused: Boolean
        get() = streamRelay?.isWriting == true || answerBody?.isPaused == true

    override val lastPartAtMilliseconds: Long?
        get() = streamRelay?.lastPartAtMilliseconds

    private var wasTargetSilent = false

    override val maxSilenceMilliseconds: Double
        get() = BASE_SILENCE_MILLISECONDS + expectedMilliseconds + processingSilenceMilliseconds()

    /** State of the target. */
    val target = reservation.target

    private val version = reservation.registered.registration.version

    private val expectedMilliseconds: Double
        get() = reservation.placement.expectedMilliseconds

    override suspend fun run(): AttemptResult {
        try {
            val opened = target.connections.acquire(maxIdleMilliseconds())
            connection = opened
            val reason = reasonNotToSend() ?: return exchange(opened)
            connection = null
            target.connections.returnUnused(opened)
            return AttemptResult.Unanswered(TargetOutcome.NOT_SENT, reason)
        } catch (failure: TargetFailure.NotSent) {
            target.health.recordUnreachable()
            return AttemptResult.Unanswered(TargetOutcome.NOT_SENT, failure.message.orEmpty())
        } catch (failure: TargetFailure.Broken) {
            return recordBrokenOff(failure.message.orEmpty())
        } catch (failure: TargetFailure.TooLarge) {
            return recordTooLarge(failure.part)
        } finally {
            returnConnection()
            memory.release()
            reservation.release()
        }
    }

    override fun recordTargetSilent() {
        wasTargetSilent = true
        if (request.route.mayRunAgain) target.health.recordSilent()
    }

    private suspend fun exchange(opened: TargetConnection): AttemptResult {
        sentAtMilliseconds = clock.nowMilliseconds()
        progress.attempts++
        progress.isAtTarget = true
        val answer = opened.exchange(outgoingRequest())
        answerBody = answer.body
        val check = AnswerCheck(request.id, progress)
        if (check.isOwn(answer)) statements.record(target, answer.parsedHeaders, sentAtMilliseconds)
        val problem = check.problemOf(answer)
        return when {
            problem != null -> recordUnknown(problem)
            answer.parsedHeaders.isNotExecuted -> readRejection(answer)
            request.route.kind == RouteKind.STREAMING && answer.isSuccess -> relayStream(answer)
            else -> relayBuffered(answer)
        }
    }

    private fun outgoingRequest(): OutgoingRequest {
        val gatewayHeaders =
            GatewayHeaders(
                target = target.id,
                remainingMilliseconds = maxOf(1, request.deadlineAtMilliseconds - clock.nowMilliseconds()),
                organisation = request.organisation?.id,
                lastEventId = progress.lastEventId,
            )
        return OutgoingRequest(
            request.method,
            request.uri,
            PlatformHeaders.buildTargetRequest(request.headers, gatewayHeaders),
            request.body,
        )
    }

    private suspend fun readRejection(answer: TargetAnswer): AttemptResult {
        val body = WholeBody.read(answer.body, memory)
        isComplete = body is WholeBody.Complete
        progress.isAtTarget = false
        if (answer.parsedHeaders.isMisdirected) onReplaced(reservation.registered.registration)
        val detail = "rejected with status ${answer.status}"
        if (body !is WholeBody.TooLarge) return AttemptResult.Unanswered(TargetOutcome.REJECTED, detail)
        target.health.recordEndlessAnswer()
        return AttemptResult.Unanswered(
            TargetOutcome.REJECTED,
            "$detail, ${AnswerPart.BODY.tooLargeDetail}",
            tooLarge = AnswerPart.BODY,
        )
    }

    private suspend fun relayBuffered(answer: TargetAnswer): AttemptResult {
        val body =
            when (val read = WholeBody.read(answer.body, memory)) {
                is WholeBody.Complete -> read.bytes

                is WholeBody.Broken -> return recordBrokenOff(
                    "answer was cut off, status ${answer.status}: ${read.detail}",
                )

                WholeBody.TooLarge -> return recordTooLarge(AnswerPart.BODY)
            }
        isComplete = true
        progress.isAtTarget = false
        reservation.recordFirstEvent()
        if (answer.isSuccess) {
            claim(this)
            target.health.recordSuccess()
            recordFirstByte()
            responder.relay(answer.status, answer.headers, body)
            return AttemptResult.Answered
        }
        if (answer.status >= FIRST_SERVER_ERROR) target.health.recordFailure()
        val buffered = BufferedAnswer(answer.status, answer.headers, body)
        return AttemptResult.Unanswered(TargetOutcome.FAILED, "failed with status ${answer.status}", buffered)
    }

    private suspend fun relayStream(answer: TargetAnswer): AttemptResult {
        val relay = StreamRelay(answer, progress, version, responder, clock, { claim(this) }, ::recordFirstEvent)
        streamRelay = relay
        return when (val end = relay.run()) {
            StreamEnd.Complete -> endStream()
            is StreamEnd.BrokenOff -> recordBrokenOff(end.detail)
            is StreamEnd.Invalid -> recordUnknown(end.detail)
            is StreamEnd.TooLarge -> recordTooLarge(end.part)
        }
    }

    private fun endStream(): AttemptResult {
        claim(this)
        isComplete = true
        progress.isAtTarget = false
        target.health.recordSuccess()
        responder.endStream()
        return AttemptResult.Answered
    }

    private fun recordFirstEvent() {
        recordFirstByte()
        reservation.recordFirstEvent()
        if (hasFirstEvent) return
        hasFirstEvent = true
        onFirstEvent(version)
        if (!wasTargetSilent) {
            speed?.recordFirstEvent(
                reservation.tokensAhead,
                clock.nowMilliseconds() - sentAtMilliseconds,
            )
        }
    }

    private var hasFirstEvent = false

    private fun recordFirstByte() {
        if (progress.firstByteAtMilliseconds == null) progress.firstByteAtMilliseconds = clock.nowMilliseconds()
    }

    private fun recordTooLarge(part: AnswerPart): AttemptResult {
        target.health.recordEndlessAnswer()
        return AttemptResult.Unanswered(TargetOutcome.UNKNOWN, part.tooLargeDetail, tooLarge = part)
    }

    private fun recordBrokenOff(detail: String): AttemptResult {
        target.health.recordFailure()
        val hasBegun = (streamRelay?.events ?: 0) >= EVENTS_OF_BEGUN_ANSWER
        val breakPoint = if (hasBegun) BreakPoint.WITHIN_ANSWER else BreakPoint.BEFORE_ANSWER
        return AttemptResult.Unanswered(TargetOutcome.UNKNOWN, detail, brokenOff = breakPoint)
    }

    private fun recordUnknown(detail: String): AttemptResult {
        target.health.recordFailure()
        return AttemptResult.Unanswered(TargetOutcome.UNKNOWN, detail)
    }

    /**
     * Returns the additional silence that the request's processing may cause.
     *
     * A plain service sends nothing meanwhile, while an engine sends events of some request all the time.
     */
    private fun processingSilenceMilliseconds(): Double =
        if (request.prompt != null) 0.0 else request.route.latencyObjectiveMilliseconds * SERVICE_SILENCE_FACTOR

    private fun returnConnection() {
        val used = connection ?: return
        if (isComplete) target.connections.release(used) else target.connections.discard(used)
    }

    /**
     * Returns how long a connection may have been idle; less for a request that must not run twice.
     *
     * If the target closes an idle connection just as the request is sent, its outcome is unknown.
     */
    private fun maxIdleMilliseconds(): Long =
        if (request.route.mayRunAgain) MAX_IDLE_MILLISECONDS else MAX_IDLE_AT_MOST_ONCE_MILLISECONDS

    private companion object {
        const val BASE_SILENCE_MILLISECONDS = 900.0
        const val SERVICE_SILENCE_FACTOR = 2.0

        /** A target that crashes as it begins an answer may still send the first event. */
        const val EVENTS_OF_BEGUN_ANSWER = 2
        const val FIRST_SERVER_ERROR = 500
        const val MAX_IDLE_MILLISECONDS = 4_000L
        const val MAX_IDLE_AT_MOST_ONCE_MILLISECONDS = 500L
    }
}
