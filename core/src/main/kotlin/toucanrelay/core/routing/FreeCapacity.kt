package toucanrelay.core.routing

/**
 * How many requests an entry may still send to one target without a grant.
 *
 * The agent announces a number now and then, and says nothing while it stays the same. The entry takes off what it sent
 * since the announcement, until that has ended. A refusal stops such requests for a short time, because the
 * announcement was older than the target's state.
 *
 * @param refusalPauseMilliseconds time without requests after a refusal.
 */
public class FreeCapacity(
    private val refusalPauseMilliseconds: Long = 100,
) {
    private var announced = 0
    private var announcement = 0L
    private var outstanding = 0
    private var pausedUntilMilliseconds: Long? = null

    /** Takes a new announcement, which covers all that was sent before. */
    public fun announce(free: Int) {
        announced = free
        announcement += 1
        outstanding = 0
        pausedUntilMilliseconds = null
    }

    /** Requests that may be sent now. */
    public fun available(nowMilliseconds: Long): Int {
        val pausedUntil = pausedUntilMilliseconds
        return if (pausedUntil != null && nowMilliseconds < pausedUntil) 0 else maxOf(0, announced - outstanding)
    }

    /** Counts a request that is sent; the result names the announcement that allowed it. */
    public fun send(): Long {
        outstanding += 1
        return announcement
    }

    /** Notes that a request sent under [allowedBy] has ended. */
    public fun end(allowedBy: Long) {
        if (allowedBy == announcement && outstanding > 0) outstanding -= 1
    }

    /** Notes that the target refused a request. */
    public fun refuse(nowMilliseconds: Long) {
        pausedUntilMilliseconds = nowMilliseconds + refusalPauseMilliseconds
    }
}
