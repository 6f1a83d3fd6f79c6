package toucanrelay.core.exchange

/**
 * Computes the interval between rounds of batches from their size, so that an entry with many neighbours stays within
 * its bandwidth budget.
 *
 * @property budgetBytesPerSecond bandwidth that an entry may use for the exchange.
 * @property minimumIntervalMilliseconds shortest interval, used while rounds are small.
 * @property maximumIntervalMilliseconds longest interval, used even when rounds then exceed the budget.
 */
public data class ExchangePace(
    public val budgetBytesPerSecond: Long = 2_000,
    public val minimumIntervalMilliseconds: Long = 250,
    public val maximumIntervalMilliseconds: Long = 2_500,
) {
    /** Returns the delay until the next round after one of [bytes] on all links together. */
    public fun nextDelayMilliseconds(bytes: Long): Long {
        val intervalMilliseconds = (bytes * MILLISECONDS_IN_A_SECOND + budgetBytesPerSecond - 1) / budgetBytesPerSecond
        return intervalMilliseconds.coerceIn(minimumIntervalMilliseconds, maximumIntervalMilliseconds)
    }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000L
    }
}
