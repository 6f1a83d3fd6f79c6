package toucanrelay.core.allowance

import toucanrelay.core.time.Clock
import kotlin.math.ceil

/**
 * Spaces the requests to one target so that they keep a rate that changes.
 *
 * When a rate is set for the first time, the requests that were sent before count towards it.
 */
public class RequestPacer(
    private val clock: Clock,
) {
    private var level = 0.0
    private var filledAtMilliseconds = clock.nowMilliseconds()
    private var sentAtMilliseconds = Long.MIN_VALUE / 2

    /** Requests per second that may be sent; null for any number. */
    public var ratePerSecond: Double? = null
        set(value) {
            refill()
            if (field == null && value != null) level = levelSinceLastSent(value)
            field = value
        }

    /** Returns whether a request may be sent now. */
    public fun maySend(): Boolean {
        if (ratePerSecond == null) return true
        refill()
        return level >= 1.0
    }

    /** Records that a request is sent, even if [maySend] does not allow it. */
    public fun recordSent() {
        sentAtMilliseconds = clock.nowMilliseconds()
        val rate = ratePerSecond ?: return
        refill()
        level = maxOf(level - 1.0, -capacity(rate))
    }

    /** Returns the milliseconds until a request may be sent; null if the rate is zero. */
    public fun millisecondsUntilNext(): Long? {
        val rate = ratePerSecond ?: return 0
        refill()
        if (level >= 1.0) return 0
        return if (rate > 0) ceil((1.0 - level) / rate * MILLISECONDS_PER_SECOND).toLong() else null
    }

    private fun levelSinceLastSent(rate: Double): Double =
        minOf(capacity(rate), (clock.nowMilliseconds() - sentAtMilliseconds) * rate / MILLISECONDS_PER_SECOND)

    private fun refill() {
        val now = clock.nowMilliseconds()
        val rate = ratePerSecond
        if (rate != null) {
            level = minOf(capacity(rate), level + (now - filledAtMilliseconds) * rate / MILLISECONDS_PER_SECOND)
        }
        filledAtMilliseconds = now
    }

    private fun capacity(rate: Double) = 1.0 + rate * BURST_SECONDS

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Makes up for the time between the moment at which a request may be sent and the next attempt to place it. */
        const val BURST_SECONDS = 0.05
    }
}
