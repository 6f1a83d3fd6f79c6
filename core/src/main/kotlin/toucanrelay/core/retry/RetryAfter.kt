package toucanrelay.core.retry

import toucanrelay.core.refusal.RefusalReason
import kotlin.random.Random

/** Chooses the value of `Retry-After`, spread by jitter so that refused callers do not come back together. */
public object RetryAfter {
    private const val SECOND = 1L
    private const val SOME_SECONDS = 3L
    private const val MANY_SECONDS = 10L

    /** Seconds after which a request refused for [reason] may be sent again; null when that would not help. */
    public fun seconds(reason: RefusalReason, random: Random): Long? {
        if (!reason.isRetryable) return null
        val least = leastSeconds(reason)
        return least + random.nextLong(least + 1)
    }

    private fun leastSeconds(reason: RefusalReason): Long =
        when (reason) {
            RefusalReason.NO_TARGET, RefusalReason.NO_BUNDLE, RefusalReason.RETRIES_EXHAUSTED -> SOME_SECONDS
            RefusalReason.CLAIM_UNAVAILABLE, RefusalReason.DEADLINE_BEFORE_START -> MANY_SECONDS
            else -> SECOND
        }
}
