package toucanrelay.core.distribution

/**
 * Spaces the reads of one process so that all processes together stay within a rate.
 *
 * @property readsPerSecond reads of all processes together.
 * @property shortestMilliseconds interval of one process while there are few.
 */
public data class PollSchedule(
    public val readsPerSecond: Double = 25.0,
    public val shortestMilliseconds: Long = 1_000,
) {
    /**
     * The time until the next read when [readers] processes read.
     *
     * @param jitter a random number from zero to one; spreads the reads over half of the interval either way.
     */
    public fun nextMilliseconds(readers: Int, jitter: Double): Long {
        val interval = maxOf(shortestMilliseconds.toDouble(), readers * MILLISECONDS_IN_A_SECOND / readsPerSecond)
        return (interval * (0.5 + jitter)).toLong()
    }

    private companion object {
        const val MILLISECONDS_IN_A_SECOND = 1_000.0
    }
}
