package toucanrelay.core.overload

import toucanrelay.core.time.Clock

/**
 * Decides when an overloaded process withdraws from load balancing, so that its callers move to other processes.
 *
 * A load balancer needs several probes to notice the state of a process, so a withdrawal lasts for a minimum time after
 * the overload. It lasts twice as long if the process was overloaded again soon after it returned.
 */
public class OverloadWithdrawal(
    private val clock: Clock,
) {
    private var endsAtMilliseconds = Long.MIN_VALUE / 2
    private var holdMilliseconds = MIN_HOLD_MILLISECONDS

    /** Whether the process should receive no new connections. */
    public val isWithdrawn: Boolean
        get() = clock.nowMilliseconds() < endsAtMilliseconds

    /**
     * Records the present state; to be called several times per second.
     *
     * @param isOverloaded whether the process has more work than it can do in time.
     * @param isSpared whether enough other processes can take its callers; otherwise it does not withdraw.
     */
    public fun update(isOverloaded: Boolean, isSpared: Boolean) {
        if (!isOverloaded || !isSpared) return
        val now = clock.nowMilliseconds()
        if (now >= endsAtMilliseconds) holdMilliseconds = nextHold(now - endsAtMilliseconds)
        endsAtMilliseconds = now + holdMilliseconds
    }

    private fun nextHold(sinceReturn: Long): Long =
        if (sinceReturn > RELAPSE_MILLISECONDS) {
            MIN_HOLD_MILLISECONDS
        } else {
            minOf(holdMilliseconds * 2, MAX_HOLD_MILLISECONDS)
        }

    private companion object {
        /** Two probes of the load balancer, one second apart, and a margin. */
        const val MIN_HOLD_MILLISECONDS = 3_000L
        const val MAX_HOLD_MILLISECONDS = 24_000L
        const val RELAPSE_MILLISECONDS = 10_000L
    }
}
