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

/** Relays one answer of a model engine, over as many connections as it takes. */
internal class EngineAnswer(
    private val connection: TargetConnection,
    private val terms: EngineTerms,
    private val request: ServeRequest,
    private val answer: AnswerBuffer,
    private val onResumed: () -> Unit,
) {
    private val scanner = EventScanner()
    private var resumes = 0

    /** Relays the response to the request that was sent. */
    suspend fun relay(first: PendingResponse): TargetOutcome {
        var step = begin(first)
        while (true) {
            step =
                when (step) {
                    is Step.Ended -> return step.outcome
                    is Step.Reading -> read(step.body)
                    is Step.Disconnected -> reconnect(step.detail)
                }
        }
    }

    private suspend fun begin(pending: PendingResponse): Step {
        val watch = StreamStallDetector()
        var patience = terms.silenceMilliseconds
        while (true) {
            when (val arrival = pending.await(patience)) {
                is Arrival.Piece -> {
                    return accept(arrival.value)
                }

                is Arrival.Broken -> {
                    return Step.Disconnected(arrival.detail)
                }

                else -> {
                    val verdict = judge(watch)
                    patience = patienceAfter(verdict) ?: return stepAfter(verdict)
                }
            }
        }
    }

    private fun accept(body: ResponseBody): Step =
        when {
            body.status in NOT_RUN_STATUSES -> {
                ended(TargetOutcome.NotRun(RefusalReason.TARGET_REFUSED, "the engine answered ${body.status}"))
            }

            body.status == NOT_FOUND -> {
                ended(TargetOutcome.NotRun(RefusalReason.MODEL_NOT_LOADED, "the engine has not loaded the model"))
            }

            body.status >= SERVER_ERRORS -> {
                lost(RefusalReason.TARGET_FAILED, "the engine answered ${body.status}")
            }

            else -> {
                answer.begin(body.head())
                Step.Reading(body)
            }
        }

    private suspend fun read(body: ResponseBody): Step =
        try {
            if (body.isEventStream) readEvents(body) else readDocument(body)
        } finally {
            body.drop()
        }

    private suspend fun readEvents(body: ResponseBody): Step {
        val watch = StreamStallDetector()
        var patience = terms.silenceMilliseconds
        while (true) {
            when (val arrival = body.next(patience)) {
                is Arrival.Piece -> {
                    watch.onProgress()
                    patience = terms.silenceMilliseconds
                    val events = scanner.feed(arrival.value.bytes)
                    answer.append(events.bytes, events.generatedTokens)
                }

                is Arrival.Broken -> {
                    return Step.Disconnected(arrival.detail)
                }

                Arrival.End -> {
                    return endOfEvents()
                }

                Arrival.Silence -> {
                    val verdict = judge(watch)
                    patience = patienceAfter(verdict) ?: return stepAfter(verdict)
                }
            }
        }
    }

    private fun endOfEvents(): Step =
        if (scanner.isDone) {
            ended(TargetOutcome.Whole(scanner.usage, OK))
        } else {
            Step.Disconnected("the stream ended early")
        }

    private suspend fun readDocument(body: ResponseBody): Step {
        val document = Buffer.buffer()
        while (true) {
            when (val arrival = body.next(terms.silenceMilliseconds)) {
                is Arrival.Piece -> {
                    if (document.length() < LONGEST_DOCUMENT_BYTES) document.appendBuffer(arrival.value)
                    answer.append(ByteString.copyFrom(arrival.value.bytes), generatedTokens = 0)
                }

                is Arrival.Broken -> {
                    return lost(RefusalReason.ANSWER_LOST, arrival.detail)
                }

                Arrival.End -> {
                    return ended(TargetOutcome.Whole(usageOf(document), body.status))
                }

                Arrival.Silence -> {
                    return lost(RefusalReason.ANSWER_LOST, "the connection went silent inside the answer")
                }
            }
        }
    }

    private fun usageOf(document: Buffer) =
        try {
            targetJson.decodeFromString<CompletionEvent>(document.toString()).usage ?: EngineUsage()
        } catch (malformed: SerializationException) {
            EngineUsage()
        }.toWire()

    /** Asks the engine how far it is. Events of an answer in one piece are not sent before it is whole. */
    private suspend fun judge(watch: StreamStallDetector): StreamVerdict =
        watch.evaluate(probe(), if (request.model.streamed) scanner.lastEventId else Long.MAX_VALUE)

    private fun patienceAfter(verdict: StreamVerdict): Long? =
        when (verdict) {
            StreamVerdict.WAITING -> terms.silenceMilliseconds
            StreamVerdict.SUSPECT -> terms.suspicionMilliseconds
            StreamVerdict.DEAD, StreamVerdict.LOST -> null
        }

    private fun stepAfter(verdict: StreamVerdict): Step =
        if (verdict == StreamVerdict.DEAD) {
            Step.Disconnected("the connection went silent")
        } else {
            lost(RefusalReason.ANSWER_LOST, "the connection went silent and the stream is gone")
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
        if (!request.model.streamed) return lost(RefusalReason.ANSWER_LOST, cause)
        scanner.dropPartial()
        while (resumes < terms.mostResumes) {
            if (resumes > 0) delay(RECONNECT_DELAY_MILLISECONDS shl resumes)
            resumes += 1
            val arrival = open()
            if (arrival !is Arrival.Piece) continue
            if (arrival.value.status == NOT_FOUND) {
                return lost(RefusalReason.ANSWER_LOST, "$cause, and the engine does not know the stream any more")
            }
            if (arrival.value.status != OK) continue
            Logger.info("agent: {} continues after event {} ({})", request.requestId, scanner.lastEventId, cause)
            onResumed()
            answer.begin(arrival.value.head())
            return Step.Reading(arrival.value)
        }
        return lost(RefusalReason.ANSWER_LOST, cause)
    }

    private suspend fun open(): Arrival<ResponseBody> =
        try {
            val sent = connection.connect(HttpMethod.GET, streamPath(request.requestId))
            sent.putHeader("Last-Event-ID", scanner.lastEventId.toString())
            PendingResponse(sent).await(terms.silenceMilliseconds)
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            Arrival.Broken(failure.toString())
        }

    private fun ended(outcome: TargetOutcome) = Step.Ended(outcome)

    private fun lost(reason: RefusalReason, detail: String) = ended(TargetOutcome.Lost(reason, detail))

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
        const val LONGEST_DOCUMENT_BYTES = 4 * 1_024 * 1_024

        /** Answers by which an engine says that it did not admit the request: overload. */
        val NOT_RUN_STATUSES = setOf(429, 503)
    }
}
