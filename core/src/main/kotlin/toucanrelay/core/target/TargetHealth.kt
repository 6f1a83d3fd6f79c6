package toucanrelay.core.target

import toucanrelay.core.time.Clock

/** Whether a target may get work, as judged from the process's own requests. */
public enum class TargetCondition {
    /** Answers as expected. */
    SOUND,

    /** Was suspected and has not answered since; gets one request at a time. */
    ON_TRIAL,

    /** Did not answer lately; gets nothing for a while. */
    SUSPECTED,
}

/**
 * Judges one target by what the process's own requests to it show.
 *
 * @param clock the time.
 */
public class TargetHealth(
    private val clock: Clock,
) {
    private var suspectedUntilMilliseconds = Long.MIN_VALUE
    private var suspicionMilliseconds = FIRST_SUSPICION_MILLISECONDS

    /** Part of the recent requests that failed, between 0 and 1. */
    public var failureRate: Double = 0.0
        private set

    /** When the target last sent anything, on any connection. */
    public var heardAtMilliseconds: Long = Long.MIN_VALUE
        private set

    /** The present judgement. */
    public val condition: TargetCondition
        get() =
            when {
                clock.nowMilliseconds() < suspectedUntilMilliseconds -> TargetCondition.SUSPECTED
                suspectedUntilMilliseconds != Long.MIN_VALUE -> TargetCondition.ON_TRIAL
                else -> TargetCondition.SOUND
            }

    /** Notes that bytes arrived from the target. */
    public fun noteHeard() {
        heardAtMilliseconds = clock.nowMilliseconds()
    }

    /** Notes a request that was answered in full and without a failure. */
    public fun noteSuccess() {
        failureRate -= failureRate * WEIGHT_OF_NEWEST
        suspicionMilliseconds = FIRST_SUSPICION_MILLISECONDS
        suspectedUntilMilliseconds = Long.MIN_VALUE
    }

    /** Notes a request that the target failed or broke off. */
    public fun noteFailure() {
        failureRate += (1 - failureRate) * WEIGHT_OF_NEWEST
    }

    /** Notes that the target could not be reached or was silent; it is left alone for a while that doubles each time. */
    public fun noteUnreachable() {
        noteFailure()
        val now = clock.nowMilliseconds()
        if (now < suspectedUntilMilliseconds) return
        suspectedUntilMilliseconds = now + suspicionMilliseconds
        suspicionMilliseconds = minOf(suspicionMilliseconds * 2, LONGEST_SUSPICION_MILLISECONDS)
    }

    private companion object {
        const val WEIGHT_OF_NEWEST = 0.12
        const val FIRST_SUSPICION_MILLISECONDS = 400L
        const val LONGEST_SUSPICION_MILLISECONDS = 1_600L
    }
}
