package toucanrelay.core.distribution

/**
 * Computes the poll interval of one process so that all processes together stay within a read rate.
 *
 * @property readsPerSecond highest read rate of all processes together.
 * @property minIntervalMilliseconds shortest mean interval of one process.
 */
public data class PollSchedule(
    public val readsPerSecond: Double = 25.0,
    public val minIntervalMilliseconds: Long = 1_000,
) {
    /**
     * Returns the delay until the next read when [readers] processes read.
     *
     * @param jitter a random number from 0 to 1; moves the read by up to half an interval either way.
     */
    public fun nextDelayMilliseconds(readers: Int, jitter: Double): Long {
        val interval =
            maxOf(minIntervalMilliseconds.toDouble(), readers * MILLISECONDS_PER_SECOND / readsPerSecond)
        return (interval * (0.5 + jitter)).toLong()
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
