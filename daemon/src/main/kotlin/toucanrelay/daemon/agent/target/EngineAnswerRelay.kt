package toucanrelay.daemon.agent.target

import com.google.protobuf.ByteString
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.tinylog.kotlin.Logger
import toucanrelay.core.liveness.ProbeAnswer
import toucanrelay.core.liveness.StreamProgress
import toucanrelay.core.liveness.StreamStallDetector
import toucanrelay.core.liveness.StreamVerdict
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.wire.ServeRequest

/** Relays one answer of a model engine and resumes its stream on a new connection when one breaks or goes silent. */
internal class EngineAnswerRelay(
    private val connection: TargetConnection,
    private val settings: EngineClientSettings,
    private val request: ServeRequest,
    private val answer: AnswerBuffer,
    private val onResumed: () -> Unit,
) {
    private val scanner = EventScanner()
    private var resumes = 0

    /** Relays the response to the request that [first] sent. */
    suspend fun relay(first: PendingResponse): TargetOutcome {
        var step = awaitHead(first)
        while (true) {
            step =
                when (step) {
                    is Step.Ended -> return step.outcome
                    is Step.Reading -> readBody(step.body)
                    is Step.Disconnected -> reconnect(step.detail)
                }
        }
    }

    private suspend fun awaitHead(pending: PendingResponse): Step {
        val stallDetector = StreamStallDetector()
        var timeoutMilliseconds = settings.silenceMilliseconds
        while (true) {
            when (val result = pending.await(timeoutMilliseconds)) {
                is ReadResult.Received -> {
                    return accept(result.value)
                }

                is ReadResult.Failed -> {
                    return Step.Disconnected(result.detail)
                }

                else -> {
                    val verdict = evaluateStall(stallDetector)
                    timeoutMilliseconds = timeoutAfter(verdict) ?: return stepAfter(verdict)
                }
            }
        }
    }

    private fun accept(body: ResponseBody): Step =
        when {
            body.status in NOT_EXECUTED_STATUSES -> {
                ended(TargetOutcome.NotExecuted(RefusalReason.TARGET_REFUSED, "the engine answered ${body.status}"))
            }

            body.status == NOT_FOUND -> {
                ended(TargetOutcome.NotExecuted(RefusalReason.MODEL_NOT_LOADED, "the engine has not loaded the model"))
            }

            body.status >= FIRST_SERVER_ERROR_STATUS -> {
                possiblyExecuted(RefusalReason.TARGET_FAILED, "the engine answered ${body.status}")
            }

            else -> {
                answer.setHead(body.head())
                Step.Reading(body)
            }
        }

    private suspend fun readBody(body: ResponseBody): Step =
        try {
            if (body.isEventStream) readEvents(body) else readDocument(body)
        } finally {
            body.abort()
        }

    private suspend fun readEvents(body: ResponseBody): Step {
        val stallDetector = StreamStallDetector()
        var timeoutMilliseconds = settings.silenceMilliseconds
        while (true) {
            when (val result = body.next(timeoutMilliseconds)) {
                is ReadResult.Received -> {
                    stallDetector.recordProgress()
                    timeoutMilliseconds = settings.silenceMilliseconds
                    val events = scanner.feed(result.value.bytes)
                    answer.append(events.bytes, events.generatedTokens)
                }

                is ReadResult.Failed -> {
                    return Step.Disconnected(result.detail)
                }

                ReadResult.End -> {
                    return endOfEvents()
                }

                ReadResult.Timeout -> {
                    val verdict = evaluateStall(stallDetector)
                    timeoutMilliseconds = timeoutAfter(verdict) ?: return stepAfter(verdict)
                }
            }
        }
    }

    private fun endOfEvents(): Step =
        if (scanner.isDone) {
            ended(TargetOutcome.Completed(scanner.usage, OK))
        } else {
            Step.Disconnected("the stream ended early")
        }

    private suspend fun readDocument(body: ResponseBody): Step {
        val document = Buffer.buffer()
        val stallDetector = StreamStallDetector()
        var timeoutMilliseconds = settings.silenceMilliseconds
        while (true) {
            when (val result = body.next(timeoutMilliseconds)) {
                is ReadResult.Received -> {
                    stallDetector.recordProgress()
                    timeoutMilliseconds = settings.silenceMilliseconds
                    if (document.length() < MAX_DOCUMENT_BYTES) document.appendBuffer(result.value)
                    answer.append(ByteString.copyFrom(result.value.bytes), generatedTokens = 0)
                }

                is ReadResult.Failed -> {
                    return possiblyExecuted(RefusalReason.ANSWER_LOST, result.detail)
                }

                ReadResult.End -> {
                    return ended(TargetOutcome.Completed(usageOf(document), body.status))
                }

                ReadResult.Timeout -> {
                    val verdict = stallDetector.evaluate(probe(), NO_EVENT_MISSING)
                    timeoutMilliseconds = timeoutAfter(verdict) ?: return lostInsideDocument()
                }
            }
        }
    }

    /** Ends the answer: the rest of a document can't be read on another connection, even of a streamed request. */
    private fun lostInsideDocument(): Step =
        possiblyExecuted(RefusalReason.ANSWER_LOST, "the connection went silent inside the answer")

    private fun usageOf(document: Buffer) =
        try {
            targetJson.decodeFromString<CompletionEvent>(document.toString()).usage ?: EngineUsage()
        } catch (malformed: SerializationException) {
            EngineUsage()
        }.toWire()

    /** Probes the stream; an answer that is not streamed has no events before it is complete, so none can be missing. */
    private suspend fun evaluateStall(stallDetector: StreamStallDetector): StreamVerdict =
        stallDetector.evaluate(probe(), if (request.model.streamed) scanner.lastEventId else NO_EVENT_MISSING)

    private fun timeoutAfter(verdict: StreamVerdict): Long? =
        when (verdict) {
            StreamVerdict.WAITING -> settings.silenceMilliseconds
            StreamVerdict.SUSPECT -> settings.probeIntervalMilliseconds
            StreamVerdict.DEAD, StreamVerdict.LOST -> null
        }

    private fun stepAfter(verdict: StreamVerdict): Step =
        if (verdict == StreamVerdict.DEAD) {
            Step.Disconnected("the connection went silent")
        } else {
            possiblyExecuted(RefusalReason.ANSWER_LOST, "the connection went silent and the stream is gone")
        }

    private suspend fun probe(): ProbeAnswer {
        val reply = connection.call(HttpMethod.GET, streamPath(request.requestId) + "/state") ?: return ProbeAnswer.None
        if (reply.status == NOT_FOUND) return ProbeAnswer.Unknown
        return try {
            val state = targetJson.decodeFromString<StreamState>(reply.body.toString())
            ProbeAnswer.Known(StreamProgress(state.lastEventId, state.finished))
        } catch (malformed: SerializationException) {
            ProbeAnswer.None
        }
    }

    private suspend fun reconnect(cause: String): Step {
        if (!request.model.streamed) return possiblyExecuted(RefusalReason.ANSWER_LOST, cause)
        scanner.discardPartial()
        while (resumes < settings.maxResumes) {
            if (resumes > 0) delay(RECONNECT_DELAY_MILLISECONDS shl resumes)
            resumes += 1
            val result = openStream()
            if (result !is ReadResult.Received) continue
            if (result.value.status == NOT_FOUND) {
                return possiblyExecuted(
                    RefusalReason.ANSWER_LOST,
                    "$cause, and the engine does not know the stream any more",
                )
            }
            if (result.value.status != OK) continue
            Logger.info("agent: request {} resumed after event {} ({})", request.requestId, scanner.lastEventId, cause)
            onResumed()
            answer.setHead(result.value.head())
            return Step.Reading(result.value)
        }
        return possiblyExecuted(RefusalReason.ANSWER_LOST, cause)
    }

    private suspend fun openStream(): ReadResult<ResponseBody> =
        try {
            val sent = connection.connect(HttpMethod.GET, streamPath(request.requestId))
            sent.putHeader("Last-Event-ID", scanner.lastEventId.toString())
            PendingResponse(sent).await(settings.silenceMilliseconds)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            ReadResult.Failed(failure.toString())
        }

    private fun ended(outcome: TargetOutcome) = Step.Ended(outcome)

    private fun possiblyExecuted(reason: RefusalReason, detail: String) =
        ended(TargetOutcome.PossiblyExecuted(reason, detail))

    private sealed interface Step {
        class Reading(
            val body: ResponseBody,
        ) : Step

        class Disconnected(
            val detail: String,
        ) : Step

        class Ended(
            val outcome: TargetOutcome,
        ) : Step
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val RECONNECT_DELAY_MILLISECONDS = 50L
        const val MAX_DOCUMENT_BYTES = 4 * 1_024 * 1_024

        /** Event id up to which everything counts as received, for answers without events. */
        const val NO_EVENT_MISSING = Long.MAX_VALUE

        /** Statuses with which an overloaded engine rejects a request without running it. */
        val NOT_EXECUTED_STATUSES = setOf(429, 503)
    }
}
