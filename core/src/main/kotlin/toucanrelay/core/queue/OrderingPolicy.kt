package toucanrelay.core.queue

import toucanrelay.core.identity.OrganisationId

/** Decides which organisation's oldest request goes first. */
public fun interface OrderingPolicy {
    /** The rank of [head], the oldest request of its organisation; the lowest rank goes first. */
    public fun rank(head: WaitingRequest): Double

    public companion object {
        /** Orders by [virtualTime], the service per unit of share that each organisation received. */
        public fun byVirtualTime(virtualTime: (OrganisationId) -> Double): OrderingPolicy =
            OrderingPolicy { virtualTime(it.organisation) }

        /** Orders by arrival alone; a baseline for measurements. */
        public val firstComeFirstServed: OrderingPolicy = OrderingPolicy { it.arrivedAtMilliseconds.toDouble() }
    }
}
