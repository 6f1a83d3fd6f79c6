package toucanrelay.core.fairness

/**
 * Virtual time of one organisation, kept as two sums that only grow.
 *
 * Both parts can be merged by maximum, in any order and any number of times, as in a PN-counter (Shapiro et al.,
 * "A comprehensive study of convergent and commutative replicated data types", 2011).
 *
 * @property charged service units per unit of share that were charged.
 * @property refunded service units per unit of share that were charged and given back.
 */
public data class ServiceAccount(
    public val charged: Double = 0.0,
    public val refunded: Double = 0.0,
) {
    /** Service received, in service units per unit of share. */
    public val virtualTime: Double
        get() = charged - refunded

    /** Whether both parts are zero. */
    public val isEmpty: Boolean
        get() = charged == 0.0 && refunded == 0.0

    /** Adds [increment], each part to its part. */
    public operator fun plus(increment: ServiceAccount): ServiceAccount =
        ServiceAccount(charged + increment.charged, refunded + increment.refunded)

    /** The greater of each part, for two replicas that exchange increments. */
    public fun highest(other: ServiceAccount): ServiceAccount =
        ServiceAccount(maxOf(charged, other.charged), maxOf(refunded, other.refunded))

    /** The account with at least [virtualTime]. */
    public fun raisedTo(virtualTime: Double): ServiceAccount =
        if (this.virtualTime >= virtualTime) this else copy(charged = refunded + virtualTime)

    /** The greater virtual time, for two replicas that were apart. */
    public fun join(other: ServiceAccount): ServiceAccount =
        highest(other).raisedTo(maxOf(virtualTime, other.virtualTime))

    /** Whether a part is greater than that of [other] by more than rounding explains. */
    public fun exceeds(other: ServiceAccount): Boolean =
        charged - other.charged > ROUNDING * (1 + charged) || refunded - other.refunded > ROUNDING * (1 + refunded)

    public companion object {
        private const val ROUNDING = 1e-9

        /** The account that one charge of [virtualTime] makes; a negative charge is a refund. */
        public fun ofCharge(virtualTime: Double): ServiceAccount =
            if (virtualTime >= 0) ServiceAccount(charged = virtualTime) else ServiceAccount(refunded = -virtualTime)
    }
}
