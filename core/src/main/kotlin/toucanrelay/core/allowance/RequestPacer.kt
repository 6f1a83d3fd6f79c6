package toucanrelay.core.allowance

import toucanrelay.core.limit.TokenBucket
import toucanrelay.core.time.Clock

/**
 * Spaces the requests to one target so that they keep a rate that changes.
 *
 * When a rate is set for the first time, the requests that were sent before count towards it.
 */
public class RequestPacer(
    private val clock: Clock,
) {
    private var bucket: TokenBucket? = null
    private var sentAtMilliseconds = Long.MIN_VALUE / 2

    /** Requests per second that may be sent; null for any number. */
    public var ratePerSecond: Double? = null
        set(value) {
            bucket = value?.let { TokenBucket(clock, it, capacity(it), bucket?.level ?: levelSinceLastSent(it)) }
            field = value
        }

    /** Returns whether a request may be sent now. */
    public fun maySend(): Boolean = millisecondsUntilNext() == 0L

    /** Records that a request is sent, even if [maySend] does not allow it. */
    public fun recordSent() {
        sentAtMilliseconds = clock.nowMilliseconds()
        bucket?.take(1.0)
    }

    /** Returns the milliseconds until a request may be sent; null if the rate is zero. */
    public fun millisecondsUntilNext(): Long? {
        val limited = bucket ?: return 0
        return limited.millisecondsUntil().takeIf { it != Long.MAX_VALUE }
    }

    private fun levelSinceLastSent(rate: Double): Double =
        (clock.nowMilliseconds() - sentAtMilliseconds) * rate / MILLISECONDS_PER_SECOND

    private fun capacity(rate: Double) = 1.0 + rate * BURST_SECONDS

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Makes up for the time between the moment at which a request may be sent and the next attempt to place it. */
        const val BURST_SECONDS = 0.05
    }
}
