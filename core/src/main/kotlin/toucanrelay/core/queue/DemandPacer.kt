package toucanrelay.core.queue

/** When a statement of demand is to be sent. */
public sealed interface DemandDue {
    /** It says nothing new. */
    public data object Never : DemandDue

    /** The agent lacks what it needs to grant a slot. */
    public data object AtOnce : DemandDue

    /**
     * It refreshes what the agent knows, as far as the budget for control allows.
     *
     * @property milliseconds time until then; zero when it is due now.
     */
    public data class Refresh(
        public val milliseconds: Long,
    ) : DemandDue
}

/**
 * Decides when demand on one link is stated anew, so that control traffic stays small.
 *
 * A statement that begins or ends to offer requests for a pool is due at once, and so is one for which the agent has
 * used up what it knew of. Any other is due after a refresh interval: the agent has work to grant slots to, counts its
 * own grants meanwhile, and a grant for an organisation that is gone is declined.
 *
 * @param refreshMilliseconds least time between statements that only refresh.
 */
public class DemandPacer(
    private val refreshMilliseconds: Long,
) {
    private var last = DemandStatement()
    private var statedAtMilliseconds: Long? = null
    private var grants = 0

    /** When [statement] is due. */
    public fun due(statement: DemandStatement, nowMilliseconds: Long): DemandDue {
        val statedAt = statedAtMilliseconds
        return when {
            statement == last && grants == 0 -> DemandDue.Never
            statedAt == null || !statement.hasSamePools(last) || grants >= last.waiting -> DemandDue.AtOnce
            else -> DemandDue.Refresh((statedAt + refreshMilliseconds - nowMilliseconds).coerceAtLeast(0))
        }
    }

    /** Notes that [statement] was sent. */
    public fun stated(statement: DemandStatement, nowMilliseconds: Long) {
        last = statement
        statedAtMilliseconds = nowMilliseconds
        grants = 0
    }

    /** Notes that the agent granted a slot for one of the stated requests. */
    public fun granted() {
        grants += 1
    }

    /** Forgets what was stated, for a new connection. */
    public fun reset() {
        last = DemandStatement()
        statedAtMilliseconds = null
        grants = 0
    }
}
