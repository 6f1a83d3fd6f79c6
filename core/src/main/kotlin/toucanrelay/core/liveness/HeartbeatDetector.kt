package toucanrelay.core.liveness

import toucanrelay.core.time.Clock

/**
 * Tells whether the peer of a link has gone silent.
 *
 * The owner calls [heard] for each message of the peer and [isSilent] once in each interval. Time in which this process
 * itself stood still does not count as silence: what the peer sent meanwhile still waits to be read.
 *
 * Not safe for use by several threads at once.
 *
 * @param clock monotonic clock of this process.
 * @param terms interval and silence of the link.
 */
public class HeartbeatDetector(
    private val clock: Clock,
    private val terms: HeartbeatTerms = HeartbeatTerms(),
) {
    private var checkedAt = clock.nowMilliseconds()
    private var silenceMilliseconds = 0L

    /** Notes that a message of the peer arrived. */
    public fun heard() {
        checkedAt = clock.nowMilliseconds()
        silenceMilliseconds = 0
    }

    /** Whether the peer has sent nothing for the stated time in which this process ran. */
    public fun isSilent(): Boolean {
        val now = clock.nowMilliseconds()
        val elapsed = now - checkedAt
        val pauseLimit = PAUSE_INTERVALS * terms.intervalMilliseconds
        silenceMilliseconds += if (elapsed > pauseLimit) terms.intervalMilliseconds else elapsed
        checkedAt = now
        return silenceMilliseconds >= terms.silenceMilliseconds
    }

    private companion object {
        /** A longer gap between two checks means that this process was paused. */
        const val PAUSE_INTERVALS = 2
    }
}
