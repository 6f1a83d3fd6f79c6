package toucanrelay.core.allowance

import toucanrelay.core.identity.TargetId

/** Is told what changes in [StatedLimits]. */
public interface StatedLimitObserver {
    /** The limit of [target] is now [requestsPerSecond]; null if it has none any more. */
    public fun onChange(target: TargetId, requestsPerSecond: Double?)

    /** A run of [target] stated a limit that cannot be read, [text]; called once for each run. */
    public fun onUnreadable(target: TargetId, text: String)
}
