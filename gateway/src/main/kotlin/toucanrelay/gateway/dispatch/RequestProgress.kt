package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.TargetId

/** What has happened to a request so far, for decisions and for the log. */
internal class RequestProgress(
    var lastEventId: Long?,
) {
    /** Targets that were tried. */
    val tried = mutableSetOf<TargetId>()

    /** Targets to which the request was sent. */
    var attempts: Int = 0

    /** Whether any attempt may have run. */
    var mayHaveRun: Boolean = false

    /** Whether an attempt is at a target now, which may be running it. */
    var isAtTarget: Boolean = false

    /** The target of the last attempt. */
    var target: TargetId? = null

    /** Events that were passed on. */
    var events: Long = 0

    /** When the first byte for the caller came, on the process's clock. */
    var firstByteAtMilliseconds: Long? = null

    /** What the last attempt ended with, in the words of the log. */
    var detail: String? = null

    /** Expected time to the first event when the last target was chosen. */
    var expectedMilliseconds: Long? = null

    /** Prompt tokens that were expected to be read. */
    var unreadTokens: Long? = null

    /** Time between the arrival and the choice of the first target. */
    var waitedMilliseconds: Long? = null
}
