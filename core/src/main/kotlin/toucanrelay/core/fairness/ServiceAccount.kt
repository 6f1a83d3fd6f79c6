package toucanrelay.core.fairness

/**
 * Virtual time of one organisation, stored as two sums that only grow.
 *
 * Both sums can be merged by maximum, in any order and any number of times, as in a PN-counter (Shapiro et al.,
 * "A comprehensive study of convergent and commutative replicated data types", 2011).
 *
 * @property charged service units per unit of share that were charged.
 * @property refunded service units per unit of share that were charged and refunded.
 */
public data class ServiceAccount(
    public val charged: Double = 0.0,
    public val refunded: Double = 0.0,
) {
    /** Service received, in service units per unit of share. */
    public val virtualTime: Double
        get() = charged - refunded

    /** Whether both sums are zero. */
    public val isEmpty: Boolean
        get() = charged == 0.0 && refunded == 0.0

    /** Adds [increment] to each sum. */
    public operator fun plus(increment: ServiceAccount): ServiceAccount =
        ServiceAccount(charged + increment.charged, refunded + increment.refunded)

    /** Returns the maximum of each sum, for two replicas that exchange increments. */
    public fun merge(other: ServiceAccount): ServiceAccount =
        ServiceAccount(maxOf(charged, other.charged), maxOf(refunded, other.refunded))

    /** Returns the account, raised to [virtualTime] if it is lower. */
    public fun raisedTo(virtualTime: Double): ServiceAccount =
        if (this.virtualTime >= virtualTime) this else copy(charged = refunded + virtualTime)

    /** Returns an account with at least the greater virtual time, for two replicas that were partitioned. */
    public fun join(other: ServiceAccount): ServiceAccount =
        merge(other).raisedTo(maxOf(virtualTime, other.virtualTime))

    /** Returns whether a sum is greater than that of [other] by more than rounding errors. */
    public fun exceeds(other: ServiceAccount): Boolean =
        charged - other.charged > ROUNDING_TOLERANCE * (1 + charged) ||
            refunded - other.refunded > ROUNDING_TOLERANCE * (1 + refunded)

    public companion object {
        private const val ROUNDING_TOLERANCE = 1e-9

        /** Returns the account after a single charge of [virtualTime]; a negative charge is a refund. */
        public fun ofCharge(virtualTime: Double): ServiceAccount =
            if (virtualTime >= 0) ServiceAccount(charged = virtualTime) else ServiceAccount(refunded = -virtualTime)
    }
}
