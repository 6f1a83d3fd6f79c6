package toucanrelay.core.following

/** Where a process takes its next look at a table that it follows. */
public enum class NextLook {
    /** Ask the store. */
    STORE,

    /** Ask the member whose copy is the freshest. */
    MEMBER,

    /** Look again a little later. */
    LATER,
}

/**
 * What a process knows when it decides about its next look.
 *
 * @property ownAgeMilliseconds age of its own copy of the table; null while it has none.
 * @property memberAgeMilliseconds age of the freshest copy that another member offers; null when none does.
 * @property rank place among the live members of the region; the first one reads from the store for all of them.
 * @property failures calls of the store in a row that gave nothing.
 * @property sinceCallMilliseconds time since the last call of the store ended; null before the first one.
 * @property isUrgent whether the process cannot serve with what it knows.
 */
public data class TableKnowledge(
    public val ownAgeMilliseconds: Long?,
    public val memberAgeMilliseconds: Long?,
    public val rank: Int,
    public val failures: Int,
    public val sinceCallMilliseconds: Long?,
    public val isUrgent: Boolean = false,
)

/**
 * Decides which members read a table from the store and which ones take it from others.
 *
 * The first member of each region reads at a steady interval, and the others take its copy. Each further rank waits
 * longer before it reads for itself, so a reader that fails is replaced by the next one without any election, and a
 * member that can reach nobody reads for itself.
 */
public object LookPolicy {
    /** The next look for a process that knows [knowledge]. */
    public fun decide(knowledge: TableKnowledge): NextLook =
        when {
            isMemberFresher(knowledge) -> NextLook.MEMBER
            isStoreDue(knowledge) && !isPausing(knowledge) -> NextLook.STORE
            else -> NextLook.LATER
        }

    private fun isMemberFresher(knowledge: TableKnowledge): Boolean {
        val memberAge = knowledge.memberAgeMilliseconds ?: return false
        val ownAge = knowledge.ownAgeMilliseconds ?: return true
        return memberAge + LEAST_GAIN_MILLISECONDS <= ownAge
    }

    private fun isStoreDue(knowledge: TableKnowledge): Boolean {
        val ownAge = knowledge.ownAgeMilliseconds ?: return true
        if (knowledge.isUrgent) return ownAge >= URGENT_INTERVAL_MILLISECONDS
        return ownAge >= READ_INTERVAL_MILLISECONDS + minOf(knowledge.rank, LAST_RANK) * DELAY_OF_RANK_MILLISECONDS
    }

    private fun isPausing(knowledge: TableKnowledge): Boolean {
        val sinceCall = knowledge.sinceCallMilliseconds ?: return false
        if (knowledge.failures == 0) return false
        val first = minOf(FIRST_PAUSE_MILLISECONDS * knowledge.failures, PAUSE_MILLISECONDS)
        return sinceCall < minOf(first * (1 + knowledge.rank), LONGEST_PAUSE_MILLISECONDS)
    }

    private const val READ_INTERVAL_MILLISECONDS = 700L
    private const val URGENT_INTERVAL_MILLISECONDS = 150L
    private const val DELAY_OF_RANK_MILLISECONDS = 400L
    private const val LAST_RANK = 3
    private const val LEAST_GAIN_MILLISECONDS = 250L
    private const val FIRST_PAUSE_MILLISECONDS = 100L
    private const val PAUSE_MILLISECONDS = 600L
    private const val LONGEST_PAUSE_MILLISECONDS = 5_000L
}
