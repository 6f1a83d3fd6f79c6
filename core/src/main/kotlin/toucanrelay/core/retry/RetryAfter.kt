package toucanrelay.core.retry

import toucanrelay.core.refusal.RefusalReason
import kotlin.random.Random

/** Chooses the `Retry-After` value, with jitter so that refused callers do not retry simultaneously. */
public object RetryAfter {
    private const val SHORT_DELAY_SECONDS = 1L
    private const val MEDIUM_DELAY_SECONDS = 3L
    private const val LONG_DELAY_SECONDS = 10L

    /** Returns the delay in seconds before a request refused for [reason] may be retried, or null if it may not be. */
    public fun seconds(reason: RefusalReason, random: Random): Long? {
        if (!reason.isRetryable) return null
        val minimum = minSeconds(reason)
        return minimum + random.nextLong(minimum + 1)
    }

    private fun minSeconds(reason: RefusalReason): Long =
        when (reason) {
            RefusalReason.NO_TARGET, RefusalReason.NO_BUNDLE, RefusalReason.RETRIES_EXHAUSTED -> MEDIUM_DELAY_SECONDS
            RefusalReason.CLAIM_UNAVAILABLE, RefusalReason.DEADLINE_BEFORE_START -> LONG_DELAY_SECONDS
            else -> SHORT_DELAY_SECONDS
        }
}
