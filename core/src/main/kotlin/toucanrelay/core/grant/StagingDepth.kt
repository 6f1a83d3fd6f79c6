package toucanrelay.core.grant

import toucanrelay.core.time.Clock
import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.sqrt

/**
 * Decides how many admitted requests wait at the agent for the next free slot while work waits at entries.
 *
 * A slot that comes free would stay idle for one round trip of a grant. By Little's law, completion rate times round trip
 * is the mean number of slots that come free meanwhile; the depth adds the square root of it for their spread, as
 * square-root staffing does (Halfin and Whitt, 1981), and no more, so that requests are bound to slots late. The round
 * trip is smoothed as in RFC 6298.
 *
 * Not safe for use by several threads at once.
 *
 * @param clock monotonic clock of this process.
 */
public class StagingDepth(
    private val clock: Clock,
) {
    private var completedAt: Long? = null
    private var intervalMilliseconds = 0.0
    private var roundTripMilliseconds = 0.0
    private var deviationMilliseconds = 0.0
    private var hasRoundTrip = false

    /** How long a grant may stay unused: several round trips. */
    public val grantLifeMilliseconds: Long
        get() =
            (GRANT_LIFE_ROUND_TRIPS * (roundTripMilliseconds + deviationMilliseconds))
                .toLong()
                .coerceIn(SHORTEST_GRANT_LIFE_MILLISECONDS, LONGEST_GRANT_LIFE_MILLISECONDS)

    /** Notes that a slot came free. */
    public fun completed() {
        val now = clock.nowMilliseconds()
        completedAt?.let { last ->
            val interval = (now - last).toDouble()
            val weight = if (intervalMilliseconds == 0.0) 1.0 else INTERVAL_WEIGHT
            intervalMilliseconds += (interval - intervalMilliseconds) * weight
        }
        completedAt = now
    }

    /** Notes that a granted request arrived [milliseconds] after its grant was sent. */
    public fun roundTrip(milliseconds: Long) {
        val sample = milliseconds.toDouble()
        if (!hasRoundTrip) {
            hasRoundTrip = true
            roundTripMilliseconds = sample
            deviationMilliseconds = sample / 2
            return
        }
        deviationMilliseconds += (abs(sample - roundTripMilliseconds) - deviationMilliseconds) * DEVIATION_WEIGHT
        roundTripMilliseconds += (sample - roundTripMilliseconds) * ROUND_TRIP_WEIGHT
    }

    /** Requests to keep waiting at the agent for a target that bears [limit] at once. */
    public fun depth(limit: Int): Int {
        if (!hasRoundTrip || intervalMilliseconds <= 0.0) return 1
        val freed = (roundTripMilliseconds + deviationMilliseconds) / intervalMilliseconds
        return ceil(freed + sqrt(freed)).toInt().coerceIn(1, limit.coerceAtLeast(1))
    }

    private companion object {
        const val INTERVAL_WEIGHT = 0.1
        const val ROUND_TRIP_WEIGHT = 0.125
        const val DEVIATION_WEIGHT = 0.25
        const val GRANT_LIFE_ROUND_TRIPS = 8
        const val SHORTEST_GRANT_LIFE_MILLISECONDS = 250L
        const val LONGEST_GRANT_LIFE_MILLISECONDS = 2_000L
    }
}
