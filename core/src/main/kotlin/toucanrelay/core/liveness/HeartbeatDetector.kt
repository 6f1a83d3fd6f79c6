package toucanrelay.core.liveness

import toucanrelay.core.time.Clock

/**
 * Detects that the peer of a link has stopped sending.
 *
 * The caller invokes [recordMessage] for each message of the peer and [isSilent] once per interval. Time in which
 * this process itself was paused does not count as silence, because messages received meanwhile are still unread.
 *
 * Not thread-safe.
 *
 * @param clock monotonic clock of this process.
 * @param settings heartbeat interval and silence timeout of the link.
 */
public class HeartbeatDetector(
    private val clock: Clock,
    private val settings: HeartbeatSettings = HeartbeatSettings(),
) {
    private var checkedAtMilliseconds = clock.nowMilliseconds()
    private var silenceMilliseconds = 0L

    /** Records that a message of the peer arrived. */
    public fun recordMessage() {
        checkedAtMilliseconds = clock.nowMilliseconds()
        silenceMilliseconds = 0
    }

    /** Returns whether the peer has sent nothing for the silence timeout, not counting pauses of this process. */
    public fun isSilent(): Boolean {
        val now = clock.nowMilliseconds()
        val elapsed = now - checkedAtMilliseconds
        val maxCheckGap = MAX_CHECK_GAP_INTERVALS * settings.intervalMilliseconds
        silenceMilliseconds += if (elapsed > maxCheckGap) settings.intervalMilliseconds else elapsed
        checkedAtMilliseconds = now
        return silenceMilliseconds >= settings.silenceMilliseconds
    }

    private companion object {
        /** A longer gap between two checks means that this process was paused. */
        const val MAX_CHECK_GAP_INTERVALS = 2
    }
}
