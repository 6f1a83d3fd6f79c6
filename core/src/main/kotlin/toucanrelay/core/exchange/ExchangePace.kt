package toucanrelay.core.exchange

/**
 * Spaces the rounds of batches by what they cost, so that an entry with many neighbours stays within its budget.
 *
 * @property budgetBytesPerSecond bytes that an entry may send for the exchange.
 * @property shortestMilliseconds interval of rounds that cost little.
 * @property longestMilliseconds interval that holds whatever a round costs.
 */
public data class ExchangePace(
    public val budgetBytesPerSecond: Long = 2_000,
    public val shortestMilliseconds: Long = 250,
    public val longestMilliseconds: Long = 2_500,
) {
    /** The time until the next round after one that took [bytes] on all links together. */
    public fun nextMilliseconds(bytes: Long): Long {
        val spaced = (bytes * MILLISECONDS_IN_A_SECOND + budgetBytesPerSecond - 1) / budgetBytesPerSecond
        return spaced.coerceIn(shortestMilliseconds, longestMilliseconds)
    }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000L
    }
}
