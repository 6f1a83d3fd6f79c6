package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.gateway.http.ServerSentEvent

/** What to do with an event of a stream. */
internal sealed interface EventDecision {
    /** Pass it on. */
    data object Pass : EventDecision

    /** Leave it out, since the caller has it from an earlier stream. */
    data object Omit : EventDecision

    /** End the run, whose events are not those that follow. */
    data class Reject(
        val detail: String,
    ) : EventDecision
}

/**
 * Checks that the events of one run follow those that the caller already has, as recorded in [progress].
 *
 * @param version version of the target that writes the events.
 */
internal class EventOrder(
    private val progress: RequestProgress,
    private val version: SoftwareVersion,
) {
    private val isResumed = progress.lastEventId != null

    /** Returns what to do with [event]. */
    fun decide(event: ServerSentEvent): EventDecision {
        val id = event.id
        val last = progress.lastEventId
        val begun = progress.streamVersion
        return when {
            begun != null && begun != version -> EventDecision.Reject("event of version $version after those of $begun")
            id == null && isResumed -> EventDecision.Reject("event without an id in a resumed stream")
            id == null || last == null -> EventDecision.Pass
            id > last + 1 -> EventDecision.Reject("event $id does not follow $last")
            id > last -> EventDecision.Pass
            progress.events > 0 -> EventDecision.Reject("event $id repeated after $last")
            else -> EventDecision.Omit
        }
    }

    /** Records that [event] is passed on. */
    fun recordPassed(event: ServerSentEvent) {
        if (event.id == null) progress.hasEventsWithoutId = true else progress.lastEventId = event.id
        progress.streamVersion = version
        progress.events++
    }
}
