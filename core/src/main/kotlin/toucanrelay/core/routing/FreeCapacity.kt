package toucanrelay.core.routing

/**
 * Tracks how many more requests an entry may send to one target without a grant.
 *
 * The agent announces its free capacity when it changes. The entry subtracts the requests that it has sent since the
 * last announcement and that are still running. A refusal shows that the announcement is out of date, so the available
 * capacity is zero for a short time afterwards.
 *
 * @param refusalPauseMilliseconds time without available capacity after a refusal.
 */
public class FreeCapacity(
    private val refusalPauseMilliseconds: Long = 100,
) {
    private var announced = 0
    private var latestAnnouncement = 0L
    private var outstanding = 0
    private var pausedUntilMilliseconds: Long? = null

    /** Records a new announcement, which accounts for all requests sent before. */
    public fun recordAnnouncement(free: Int) {
        announced = free
        latestAnnouncement += 1
        outstanding = 0
        pausedUntilMilliseconds = null
    }

    /** Returns the number of requests that can be sent now. */
    public fun available(nowMilliseconds: Long): Int {
        val pausedUntil = pausedUntilMilliseconds
        return if (pausedUntil != null && nowMilliseconds < pausedUntil) 0 else maxOf(0, announced - outstanding)
    }

    /** Records a sent request and returns the number of the announcement under which it was sent. */
    public fun recordSend(): Long {
        outstanding += 1
        return latestAnnouncement
    }

    /** Records the end of a request that was sent under [announcement]. */
    public fun recordEnd(announcement: Long) {
        if (announcement == latestAnnouncement && outstanding > 0) outstanding -= 1
    }

    /** Records that the target refused a request. */
    public fun recordRefusal(nowMilliseconds: Long) {
        pausedUntilMilliseconds = nowMilliseconds + refusalPauseMilliseconds
    }
}
