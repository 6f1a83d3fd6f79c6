package toucanrelay.core.queue

import toucanrelay.core.identity.OrganisationId

/** Decides which organisation's oldest request is served first. */
public fun interface OrderingPolicy {
    /** Returns the rank of [head], the oldest request of its organisation; the lowest rank is served first. */
    public fun rank(head: WaitingRequest): Double

    public companion object {
        /** Orders by [virtualTime], the service that each organisation received per unit of share. */
        public fun byVirtualTime(virtualTime: (OrganisationId) -> Double): OrderingPolicy =
            OrderingPolicy { virtualTime(it.organisation) }

        /** Orders by arrival only; the baseline for measurements. */
        public val firstComeFirstServed: OrderingPolicy = OrderingPolicy { it.arrivedAtMilliseconds.toDouble() }
    }
}
