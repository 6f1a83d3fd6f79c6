package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId

/**
 * An organisation's longest waiting request at one entry, as it competes for the next slot.
 *
 * @property virtualTime the organisation's virtual time over all entries, with grants that no report covers yet.
 * @property headWaitingMilliseconds how long the request has waited.
 */
public data class Candidate(
    public val link: LinkId,
    public val organisation: OrganisationId,
    public val virtualTime: Double,
    public val headWaitingMilliseconds: Long,
)

/** Decides which candidate gets the next slot: the least in this order. */
public fun interface OrderingPolicy {
    /** Compares as a [Comparator] does. */
    public fun compare(first: Candidate, second: Candidate): Int
}

/**
 * Serves the organisation with the least virtual time (start-time fair queueing; Goyal, Vin and Cheng, 1996), and within
 * it the request that waits longest.
 */
public object LeastVirtualTime : OrderingPolicy {
    private val order =
        compareBy<Candidate> {
            it.virtualTime
        }.thenByDescending { it.headWaitingMilliseconds }.thenBy { it.organisation }

    override fun compare(first: Candidate, second: Candidate): Int = order.compare(first, second)
}

/** Serves the request that waits longest, whosever it is; a baseline for measurements. */
public object FirstComeFirstServed : OrderingPolicy {
    private val order = compareByDescending<Candidate> { it.headWaitingMilliseconds }.thenBy { it.organisation }

    override fun compare(first: Candidate, second: Candidate): Int = order.compare(first, second)
}
