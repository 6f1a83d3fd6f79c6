package toucanrelay.core.target

import toucanrelay.core.time.Clock

/** Whether a target may receive requests, judged by the results of the process's own requests. */
public enum class TargetCondition {
    /** Responds normally. */
    SOUND,

    /** Was suspected and has not responded since; receives one request at a time. */
    ON_TRIAL,

    /** Was recently unreachable or silent, or sent bytes without end; receives no requests for a while. */
    SUSPECTED,
}

/**
 * Tracks the health of one target from the results of the process's own requests.
 */
public class TargetHealth(
    private val clock: Clock,
) {
    private var suspectedUntilMilliseconds = Long.MIN_VALUE
    private var suspicionMilliseconds = INITIAL_SUSPICION_MILLISECONDS
    private var isSilent = false

    /** Fraction of recent requests that failed, as an exponential moving average between 0 and 1. */
    public var failureRate: Double = 0.0
        private set

    /** Clock reading when bytes last arrived from the target on any connection. */
    public var lastReceivedAtMilliseconds: Long = Long.MIN_VALUE
        private set

    /** The current condition. */
    public val condition: TargetCondition
        get() =
            when {
                clock.nowMilliseconds() < suspectedUntilMilliseconds -> TargetCondition.SUSPECTED
                suspectedUntilMilliseconds != Long.MIN_VALUE -> TargetCondition.ON_TRIAL
                else -> TargetCondition.SOUND
            }

    /** Records that bytes arrived from the target. */
    public fun recordReceived() {
        lastReceivedAtMilliseconds = clock.nowMilliseconds()
        if (isSilent) endSuspicion()
    }

    /** Records a request that was answered completely and without error. */
    public fun recordSuccess() {
        failureRate -= failureRate * NEWEST_RESULT_WEIGHT
        endSuspicion()
    }

    /** Records a request that failed or was interrupted by the target. */
    public fun recordFailure() {
        failureRate += (1 - failureRate) * NEWEST_RESULT_WEIGHT
    }

    /** Records that no connection to the target could be opened. */
    public fun recordUnreachable() {
        recordFailure()
        suspect()
    }

    /** Records that the target is silent, which is no failure: it is sound again as soon as it sends something. */
    public fun recordSilent() {
        isSilent = true
        suspect()
    }

    /** Records that the target sent bytes without end that are no valid answer. */
    public fun recordEndlessAnswer() {
        recordFailure()
        suspect()
    }

    /** Suspects the target for a time that doubles up to a limit. */
    private fun suspect() {
        val now = clock.nowMilliseconds()
        if (now < suspectedUntilMilliseconds) return
        suspectedUntilMilliseconds = now + suspicionMilliseconds
        suspicionMilliseconds = minOf(suspicionMilliseconds * 2, MAX_SUSPICION_MILLISECONDS)
    }

    private fun endSuspicion() {
        isSilent = false
        suspicionMilliseconds = INITIAL_SUSPICION_MILLISECONDS
        suspectedUntilMilliseconds = Long.MIN_VALUE
    }

    private companion object {
        const val NEWEST_RESULT_WEIGHT = 0.12
        const val INITIAL_SUSPICION_MILLISECONDS = 400L
        const val MAX_SUSPICION_MILLISECONDS = 1_600L
    }
}
