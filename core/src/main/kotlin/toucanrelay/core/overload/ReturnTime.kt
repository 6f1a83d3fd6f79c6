package toucanrelay.core.overload

import kotlin.random.Random

/** Chooses when a refused caller may come back. */
public object ReturnTime {
    /**
     * Milliseconds after which the caller may try again, spread so that refused callers do not return together.
     *
     * Callers wait for at most a third of the time that they have left, so a longer advice would not be followed.
     */
    public fun milliseconds(remainingMilliseconds: Long, random: Random): Long {
        val longest =
            (remainingMilliseconds * LONGEST_PART).toLong().coerceIn(
                SHORTEST_MILLISECONDS,
                LONGEST_MILLISECONDS,
            )
        val shortest = (longest * SHORTEST_PART).toLong()
        return shortest + random.nextLong(longest - shortest + 1)
    }

    private const val LONGEST_PART = 0.3
    private const val SHORTEST_PART = 0.5
    private const val SHORTEST_MILLISECONDS = 50L
    private const val LONGEST_MILLISECONDS = 1_500L
}
