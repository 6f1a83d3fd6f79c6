package toucanrelay.core.grant

import toucanrelay.core.identity.OrganisationId

/**
 * An organisation's longest waiting request at one entry, as a candidate for the next slot.
 *
 * @property virtualTime the organisation's virtual time over all entries, plus the cost of grants not yet reported.
 * @property headWaitingMilliseconds how long the request has waited.
 */
public data class Candidate(
    public val link: LinkId,
    public val organisation: OrganisationId,
    public val virtualTime: Double,
    public val headWaitingMilliseconds: Long,
)

/** Order of the candidates; the next slot goes to the least one. */
public fun interface OrderingPolicy {
    /** Compares two candidates as a [Comparator] does. */
    public fun compare(first: Candidate, second: Candidate): Int
}

/**
 * Serves the organisation with the least virtual time (start-time fair queueing; Goyal, Vin and Cheng, 1996), and
 * within it the request that has waited longest.
 */
public object LeastVirtualTime : OrderingPolicy {
    private val order =
        compareBy<Candidate> {
            it.virtualTime
        }.thenByDescending { it.headWaitingMilliseconds }.thenBy { it.organisation }

    override fun compare(first: Candidate, second: Candidate): Int = order.compare(first, second)
}

/** Serves the request that has waited longest, whatever its organisation; a baseline for measurements. */
public object FirstComeFirstServed : OrderingPolicy {
    private val order = compareByDescending<Candidate> { it.headWaitingMilliseconds }.thenBy { it.organisation }

    override fun compare(first: Candidate, second: Candidate): Int = order.compare(first, second)
}
