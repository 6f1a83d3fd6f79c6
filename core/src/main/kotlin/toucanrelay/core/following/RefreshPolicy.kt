package toucanrelay.core.following

/** The next step of a process to refresh its copy of a replicated table. */
public enum class RefreshAction {
    /** Read from the store. */
    READ_STORE,

    /** Read from the member that has the freshest copy. */
    READ_MEMBER,

    /** Wait briefly and decide again. */
    WAIT,
}

/**
 * Inputs to a refresh decision.
 *
 * @property ownAgeMilliseconds age of the process's own copy of the table; null while it has none.
 * @property memberAgeMilliseconds age of the freshest copy that another member offers; null when none does.
 * @property rank position among the live members of the region; the first one reads from the store for all of them.
 * @property failures number of consecutive failed calls to the store.
 * @property sinceStoreCallMilliseconds time since the last call to the store ended; null before the first one.
 * @property isUrgent whether the process cannot serve with its present copy.
 */
public data class RefreshState(
    public val ownAgeMilliseconds: Long?,
    public val memberAgeMilliseconds: Long?,
    public val rank: Int,
    public val failures: Int,
    public val sinceStoreCallMilliseconds: Long?,
    public val isUrgent: Boolean = false,
)

/**
 * Decides which members read a table from the store and which ones copy it from other members.
 *
 * The first member of each region reads at a fixed interval, and the others copy from it. Each further rank waits
 * longer before it reads from the store itself, so the next rank replaces a failed reader without an election, and a
 * member that can reach no other member reads from the store itself.
 */
public object RefreshPolicy {
    /** Returns the next action for a process in [state]. */
    public fun decide(state: RefreshState): RefreshAction =
        when {
            isMemberFresher(state) -> RefreshAction.READ_MEMBER
            isStoreReadDue(state) && !isBackingOff(state) -> RefreshAction.READ_STORE
            else -> RefreshAction.WAIT
        }

    private fun isMemberFresher(state: RefreshState): Boolean {
        val memberAge = state.memberAgeMilliseconds ?: return false
        val ownAge = state.ownAgeMilliseconds ?: return true
        return memberAge + MIN_AGE_GAIN_MILLISECONDS <= ownAge
    }

    private fun isStoreReadDue(state: RefreshState): Boolean {
        val ownAge = state.ownAgeMilliseconds ?: return true
        if (state.isUrgent) return ownAge >= URGENT_INTERVAL_MILLISECONDS
        return ownAge >= READ_INTERVAL_MILLISECONDS + minOf(state.rank, MAX_DELAYED_RANK) * DELAY_PER_RANK_MILLISECONDS
    }

    private fun isBackingOff(state: RefreshState): Boolean {
        val sinceCall = state.sinceStoreCallMilliseconds ?: return false
        if (state.failures == 0) return false
        val base = minOf(BACKOFF_PER_FAILURE_MILLISECONDS * state.failures, MAX_BASE_BACKOFF_MILLISECONDS)
        return sinceCall < minOf(base * (1 + state.rank), MAX_BACKOFF_MILLISECONDS)
    }

    private const val READ_INTERVAL_MILLISECONDS = 700L
    private const val URGENT_INTERVAL_MILLISECONDS = 150L
    private const val DELAY_PER_RANK_MILLISECONDS = 400L
    private const val MAX_DELAYED_RANK = 3
    private const val MIN_AGE_GAIN_MILLISECONDS = 250L
    private const val BACKOFF_PER_FAILURE_MILLISECONDS = 100L
    private const val MAX_BASE_BACKOFF_MILLISECONDS = 600L
    private const val MAX_BACKOFF_MILLISECONDS = 5_000L
}
