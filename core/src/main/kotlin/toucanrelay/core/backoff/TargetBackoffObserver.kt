package toucanrelay.core.backoff

import toucanrelay.core.identity.TargetId

/** Is told what changes in [TargetBackoffs]. */
public interface TargetBackoffObserver {
    /** [target] gets no request for the next [milliseconds], of which it asked for [requestedMilliseconds]. */
    public fun onBackoff(target: TargetId, milliseconds: Long, requestedMilliseconds: Long)

    /** A run of [target] asked for a back-off that cannot be read, [text]; called once for each run. */
    public fun onUnreadable(target: TargetId, text: String)
}
