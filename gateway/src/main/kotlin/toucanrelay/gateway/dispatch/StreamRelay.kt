package toucanrelay.gateway.dispatch

import io.vertx.core.buffer.Buffer
import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.time.Clock
import toucanrelay.gateway.body.BodyPart
import toucanrelay.gateway.http.CallerResponder
import toucanrelay.gateway.http.EventSplitter
import toucanrelay.gateway.http.ServerSentEvent
import toucanrelay.gateway.http.StreamFiller
import toucanrelay.gateway.http.StreamPart
import toucanrelay.gateway.target.AnswerPart
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
 * @param version version of the target that writes the stream.
 * @param claim called before an event is passed on, so that no other attempt at the request continues.
 * @param onEvent called before each event is passed on.
 */
internal class StreamRelay(
    private val answer: TargetAnswer,
    private val progress: RequestProgress,
    version: SoftwareVersion,
    private val responder: CallerResponder,
    private val clock: Clock,
    private val claim: () -> Unit,
    private val onEvent: () -> Unit,
) {
    private val splitter = EventSplitter()
    private val order = EventOrder(progress, version)

    /** Filler that has arrived before the first event that is passed on. */
    private var held = Buffer.buffer()

    /** Bytes of filler that have arrived since the last event. */
    private var bytesSinceEvent = 0

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
                is BodyPart.Bytes -> relayParts(part.buffer)?.let { return it }
                is BodyPart.Broken -> return StreamEnd.BrokenOff("stream was cut off: ${part.detail}")
                BodyPart.End -> return end()
            }
        }
    }

    /** Passes on what [bytes] complete, in one write; returns how the stream ended if it is invalid. */
    private suspend fun relayParts(bytes: Buffer): StreamEnd? {
        val eventsBefore = events
        val passed = Buffer.buffer()
        val problem = splitter.feed(bytes).firstNotNullOfOrNull { relay(it, passed) }
        if (passed.length() > 0) write(passed)
        if (events > eventsBefore) lastPartAtMilliseconds = clock.nowMilliseconds()
        return problem ?: tooLarge()
    }

    /** Appends [part] to [passed] if it is passed on; returns how the stream ended if it is invalid. */
    private fun relay(part: StreamPart, passed: Buffer): StreamEnd? {
        when (part) {
            is StreamFiller -> relayFiller(part, passed)
            is ServerSentEvent -> return relayEvent(part, passed)
        }
        return null
    }

    /** Holds [filler] back until the first event, since other attempts may still answer. */
    private fun relayFiller(filler: StreamFiller, passed: Buffer) {
        bytesSinceEvent += filler.bytes.length()
        if (events > 0) passed.appendBuffer(filler.bytes) else held.appendBuffer(filler.bytes)
    }

    private fun relayEvent(event: ServerSentEvent, passed: Buffer): StreamEnd? {
        bytesSinceEvent = 0
        val leading = held
        held = Buffer.buffer()
        when (val decision = order.decide(event)) {
            EventDecision.Omit -> return null
            is EventDecision.Reject -> return StreamEnd.Invalid(decision.detail)
            EventDecision.Pass -> Unit
        }
        claim()
        onEvent()
        order.recordPassed(event)
        events++
        passed.appendBuffer(leading).appendBuffer(event.bytes)
        return null
    }

    private suspend fun write(passed: Buffer) {
        if (!responder.hasBegun) {
            progress.mediaType = answer.mediaType
            responder.beginStream(answer.status, answer.headers)
        }
        isWriting = true
        responder.writeChunk(passed)
        isWriting = false
    }

    /** Returns the end of a stream in which more follows an event than a valid one has before the next one is complete. */
    private fun tooLarge(): StreamEnd? =
        StreamEnd.TooLarge(AnswerPart.EVENT).takeIf {
            bytesSinceEvent + splitter.partialEventBytes > AnswerPart.EVENT.maxBytes
        }

    private fun end(): StreamEnd =
        when {
            splitter.hasPartialEvent || held.length() > 0 || !responder.hasBegun -> {
                StreamEnd.BrokenOff("stream ended within an event")
            }

            events == 0 && !answer.isFramed -> {
                StreamEnd.BrokenOff("resumed stream ended without events or length")
            }

            else -> {
                StreamEnd.Complete
            }
        }
}
