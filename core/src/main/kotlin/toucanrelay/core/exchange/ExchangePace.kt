package toucanrelay.core.exchange

/**
 * Computes the interval between rounds of batches from their size, so that an entry with many neighbours stays within
 * its bandwidth budget.
 *
 * @property budgetBytesPerSecond bandwidth that an entry may use for the exchange.
 * @property minIntervalMilliseconds shortest interval, used while rounds are small.
 * @property maxIntervalMilliseconds longest interval, used even when rounds then exceed the budget.
 */
public data class ExchangePace(
    public val budgetBytesPerSecond: Long = 2_000,
    public val minIntervalMilliseconds: Long = 250,
    public val maxIntervalMilliseconds: Long = 2_500,
) {
    /** Returns the delay until the next round after one of [bytes] on all links together. */
    public fun nextDelayMilliseconds(bytes: Long): Long {
        val intervalMilliseconds = (bytes * MILLISECONDS_PER_SECOND + budgetBytesPerSecond - 1) / budgetBytesPerSecond
        return intervalMilliseconds.coerceIn(minIntervalMilliseconds, maxIntervalMilliseconds)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
