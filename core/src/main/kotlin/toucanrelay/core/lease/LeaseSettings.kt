package toucanrelay.core.lease

/**
 * Timing of a lease.
 *
 * @property durationMilliseconds how long a lease lasts, counted from before its write was sent.
 * @property stopMarginMilliseconds how long before the lease ends the holder stops sending orders; an order takes less.
 * @property clockMarginMilliseconds how much longer than the duration a successor waits, to allow for clock drift.
 * @property renewAheadMilliseconds how long before it stops sending orders the holder renews the lease.
 * @property retryMilliseconds time between two attempts when the table service does not answer.
 */
public data class LeaseSettings(
    public val durationMilliseconds: Long = 15_000,
    public val stopMarginMilliseconds: Long = 5_000,
    public val clockMarginMilliseconds: Long = 2_000,
    public val renewAheadMilliseconds: Long = 5_000,
    public val retryMilliseconds: Long = 1_000,
) {
    init {
        require(stopMarginMilliseconds in 1 until durationMilliseconds) {
            "the stop margin must be less than the duration: $stopMarginMilliseconds ms of $durationMilliseconds ms"
        }
        require(renewAheadMilliseconds in 1 until usableMilliseconds) {
            "the lease must be renewed while it is usable: $renewAheadMilliseconds ms of $usableMilliseconds ms"
        }
    }

    /** How long the holder may send orders, counted from before its write was sent. */
    public val usableMilliseconds: Long
        get() = durationMilliseconds - stopMarginMilliseconds
}
