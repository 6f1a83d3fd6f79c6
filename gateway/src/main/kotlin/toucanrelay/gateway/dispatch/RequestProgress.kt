package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.SoftwareVersion
import toucanrelay.core.identity.TargetId
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.stream.TakeUp

/** Progress of a request, for retry decisions and for the log. */
internal class RequestProgress(
    var lastEventId: Long?,
) {
    /** The version of targets whose events the caller has, the only one that may continue them; null before the first. */
    var streamVersion: SoftwareVersion? = null

    /** How the version of the stream that the request resumes is known; null if it resumes none. */
    var takeUp: TakeUp.Continue? = null

    /** Targets that the request was placed on. */
    val tried = mutableSetOf<TargetId>()

    /** Number of times that the request was sent to a target. */
    var attempts: Int = 0

    /** Whether any earlier attempt may have run. */
    var mayHaveRun: Boolean = false

    /** Whether a target broke off any attempt, as one does that crashes on the request. */
    var wasBrokenOff: Boolean = false

    /** The newest error response of a target; null if there is none. */
    var failure: BufferedAnswer? = null

    /** Whether the newest attempt is in flight at a target, which may be running it. */
    var isAtTarget: Boolean = false

    /** The target of the last attempt. */
    var target: TargetId? = null

    /** The version of the software of [target]. */
    var targetVersion: SoftwareVersion? = null

    /** Clock reading when the request was first placed on a target; null before. */
    var placedAtMilliseconds: Long? = null

    /** Number of events passed on to the caller. */
    var events: Long = 0

    /** Whether an event without an id was passed on, so that another run cannot tell where to continue. */
    var hasEventsWithoutId: Boolean = false

    /** Whether another run can continue the answer where it is, or start it. */
    val mayBeContinued: Boolean
        get() = !hasEventsWithoutId

    /** Media type of the stream of which the caller has a part; null if there is none or it has none. */
    var mediaType: String? = null

    /** Clock reading when the first byte of the answer arrived; null before. */
    var firstByteAtMilliseconds: Long? = null

    /** Log text that describes how the last attempt ended. */
    var detail: String? = null

    /** Expected time to the first event, as estimated when the last target was chosen. */
    var expectedMilliseconds: Long? = null

    /** Prompt tokens that the last target was expected to read. */
    var unreadTokens: Long? = null

    /** Time from the arrival to the choice of the first target. */
    var waitedMilliseconds: Long? = null

    /** Returns what [request] needs of its next target. */
    fun queryFor(request: CallerRequest): PlacementQuery =
        PlacementQuery(request, tried, streamVersion, isTakeUp = takeUp?.ageMilliseconds != null)
}
