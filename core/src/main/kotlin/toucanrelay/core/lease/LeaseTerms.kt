package toucanrelay.core.lease

/**
 * Times of a lease.
 *
 * @property durationMilliseconds how long a lease lasts from before its write was sent.
 * @property stopMarginMilliseconds how long before its end the holder stops; an order takes less.
 * @property clockMarginMilliseconds how much longer than the duration a successor waits, for clocks that run unevenly.
 * @property renewAheadMilliseconds how long before it stops the holder renews.
 * @property retryMilliseconds time between two attempts when the table service gives no answer.
 */
public data class LeaseTerms(
    public val durationMilliseconds: Long = 15_000,
    public val stopMarginMilliseconds: Long = 5_000,
    public val clockMarginMilliseconds: Long = 2_000,
    public val renewAheadMilliseconds: Long = 5_000,
    public val retryMilliseconds: Long = 1_000,
) {
    init {
        require(stopMarginMilliseconds in 1 until durationMilliseconds) {
            "the stop margin must lie within the duration: $stopMarginMilliseconds ms of $durationMilliseconds ms"
        }
        require(renewAheadMilliseconds in 1 until usableMilliseconds) {
            "the lease must be renewed within the time of use: $renewAheadMilliseconds ms of $usableMilliseconds ms"
        }
    }

    /** How long a holder may order after its write was sent. */
    public val usableMilliseconds: Long
        get() = durationMilliseconds - stopMarginMilliseconds
}
