package toucanrelay.core.grant

import toucanrelay.core.time.Clock
import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.sqrt

/**
 * Computes how many admitted requests are staged at the agent for the next free slot while requests wait at entries.
 *
 * Without staging, a freed slot would stay idle for one round trip of a grant. By Little's law, completion rate times
 * round trip is the mean number of slots freed meanwhile; the depth adds its square root for the variance, as
 * square-root staffing does (Halfin and Whitt, 1981), and no more, so that requests are bound to slots late. The round
 * trip is smoothed as in RFC 6298.
 *
 * Not thread-safe.
 *
 * @param clock monotonic clock of this process.
 */
public class StagingDepth(
    private val clock: Clock,
) {
    private var lastCompletionAtMilliseconds: Long? = null
    private var intervalMilliseconds = 0.0
    private var roundTripMilliseconds = 0.0
    private var deviationMilliseconds = 0.0
    private var hasRoundTrip = false

    /** Time after which an unused grant expires: several round trips. */
    public val grantLifetimeMilliseconds: Long
        get() =
            (GRANT_LIFETIME_ROUND_TRIPS * (roundTripMilliseconds + deviationMilliseconds))
                .toLong()
                .coerceIn(MIN_GRANT_LIFETIME_MILLISECONDS, MAX_GRANT_LIFETIME_MILLISECONDS)

    /** Records that a request completed and freed its slot. */
    public fun recordCompletion() {
        val now = clock.nowMilliseconds()
        lastCompletionAtMilliseconds?.let { last ->
            val interval = (now - last).toDouble()
            val weight = if (intervalMilliseconds == 0.0) 1.0 else INTERVAL_WEIGHT
            intervalMilliseconds += (interval - intervalMilliseconds) * weight
        }
        lastCompletionAtMilliseconds = now
    }

    /** Records that a granted request arrived [milliseconds] after its grant was sent. */
    public fun recordRoundTrip(milliseconds: Long) {
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

    /** Returns the number of requests to stage for a target that runs up to [limit] requests concurrently. */
    public fun depth(limit: Int): Int {
        if (!hasRoundTrip || intervalMilliseconds <= 0.0) return 1
        val freed = (roundTripMilliseconds + deviationMilliseconds) / intervalMilliseconds
        return ceil(freed + sqrt(freed)).toInt().coerceIn(1, limit.coerceAtLeast(1))
    }

    private companion object {
        const val INTERVAL_WEIGHT = 0.1
        const val ROUND_TRIP_WEIGHT = 0.125
        const val DEVIATION_WEIGHT = 0.25
        const val GRANT_LIFETIME_ROUND_TRIPS = 8
        const val MIN_GRANT_LIFETIME_MILLISECONDS = 250L
        const val MAX_GRANT_LIFETIME_MILLISECONDS = 2_000L
    }
}
