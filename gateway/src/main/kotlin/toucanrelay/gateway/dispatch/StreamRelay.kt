package toucanrelay.gateway.dispatch

import io.vertx.core.buffer.Buffer
import toucanrelay.core.time.Clock
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.http.EventSplitter
import toucanrelay.gateway.http.ServerSentEvent
import toucanrelay.gateway.target.AnswerPart
import toucanrelay.gateway.target.BodyPart
import toucanrelay.gateway.target.TargetAnswer

/** How passing on a stream ended. */
internal sealed interface StreamEnd {
    /** All its events were passed on. */
    data object Complete : StreamEnd

    /** The target broke it off. */
    class BrokenOff(
        val detail: String,
    ) : StreamEnd

    /** The target sent what is no valid continuation. */
    class Invalid(
        val detail: String,
    ) : StreamEnd

    /** The target sent more bytes for [part] than a valid answer has. */
    class TooLarge(
        val part: AnswerPart,
    ) : StreamEnd
}

/**
 * Passes on the events of a stream as they arrive.
 *
 * @param claim called before an event is passed on, so that no other attempt at the request continues.
 * @param onEvent called before each event is written.
 */
internal class StreamRelay(
    private val answer: TargetAnswer,
    private val progress: RequestProgress,
    private val responder: CallerResponder,
    private val clock: Clock,
    private val claim: () -> Unit,
    private val onEvent: () -> Unit,
) {
    private val splitter = EventSplitter()
    private val order = EventOrder(progress)

    /** Number of events passed on. */
    var events: Int = 0
        private set

    /** Whether the caller has not read enough for more to be written. */
    var isWriting: Boolean = false
        private set

    /** When the newest event was passed on; null before the first one. */
    var lastPartAtMilliseconds: Long? = null
        private set

    /** Passes on events until the stream ends. */
    suspend fun run(): StreamEnd {
        while (true) {
            when (val part = answer.body.next()) {
                is BodyPart.Bytes -> relayEvents(part.buffer)?.let { return it }
                is BodyPart.Broken -> return StreamEnd.BrokenOff("stream was cut off: ${part.detail}")
                BodyPart.End -> return end()
            }
        }
    }

    /** Passes on the events that [bytes] complete; returns how the stream ended if it is invalid. */
    private suspend fun relayEvents(bytes: Buffer): StreamEnd? {
        for (event in splitter.feed(bytes)) {
            when (val decision = order.decide(event)) {
                EventDecision.Pass -> relay(event)
                EventDecision.Omit -> Unit
                is EventDecision.Reject -> return StreamEnd.Invalid(decision.detail)
            }
        }
        return if (splitter.partialEventBytes >
            AnswerPart.EVENT.maxBytes
        ) {
            StreamEnd.TooLarge(AnswerPart.EVENT)
        } else {
            null
        }
    }

    private suspend fun relay(event: ServerSentEvent) {
        claim()
        if (!responder.hasBegun) {
            progress.mediaType = answer.mediaType
            responder.beginStream(answer.status, answer.headers)
        }
        onEvent()
        order.recordPassed(event)
        events++
        isWriting = true
        responder.writeChunk(event.bytes)
        isWriting = false
        lastPartAtMilliseconds = clock.nowMilliseconds()
    }

    private fun end(): StreamEnd =
        when {
            splitter.hasPartialEvent || !responder.hasBegun -> StreamEnd.BrokenOff("stream ended within an event")
            events == 0 && !answer.isFramed -> StreamEnd.BrokenOff("resumed stream ended without events or length")
            else -> StreamEnd.Complete
        }
}
