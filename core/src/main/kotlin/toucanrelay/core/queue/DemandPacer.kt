package toucanrelay.core.queue

/**
 * Decides when demand on one link is stated anew, so that control traffic stays small.
 *
 * A statement that adds or drops an organisation is due at once, and so is one for which the agent has used up what it
 * knew of. One that differs in its figures alone is due after a refresh interval.
 *
 * @param refreshMilliseconds least time between statements that differ in their figures alone.
 */
public class DemandPacer(
    private val refreshMilliseconds: Long,
) {
    private var last = DemandStatement()
    private var statedAtMilliseconds: Long? = null
    private var grants = 0

    /** Milliseconds until [statement] is due; null when it says nothing new. */
    public fun dueInMilliseconds(statement: DemandStatement, nowMilliseconds: Long): Long? {
        val statedAt = statedAtMilliseconds
        return when {
            statement == last && grants == 0 -> null
            statedAt == null || !statement.hasSameOrganisations(last) -> 0
            grants >= last.waiting -> 0
            else -> (statedAt + refreshMilliseconds - nowMilliseconds).coerceAtLeast(0)
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
