package toucanrelay.daemon.order

import kotlinx.coroutines.delay

/**
 * Settings for claiming orders on one entry.
 *
 * @property claimsPerSecond maximum average rate of claims; each order costs two writes.
 * @property claimBurst maximum number of claims at once.
 * @property claimLifetimeMilliseconds time after which a claim without a recorded outcome counts as unknown; must be
 *   longer than a request can run.
 * @property maxAttempts maximum number of calls to the table service for one step before the step fails or continues in
 *   the background.
 * @property maxAnswerBytes maximum size of a recorded body; the outcome of an order with a larger one is recorded as
 *   unknown.
 * @property backoff delay between attempts.
 */
public class OrderRegistrySettings(
    public val claimsPerSecond: Double = 20.0,
    public val claimBurst: Double = 50.0,
    public val claimLifetimeMilliseconds: Long = 330_000,
    public val maxAttempts: Int = 4,
    public val maxAnswerBytes: Int = 262_144,
    public val backoff: Backoff = ExponentialBackoff(),
)

/** Delay between two calls to the table service. */
public fun interface Backoff {
    /** Suspends until the attempt after [attempt] is due; attempts are numbered from 0. */
    public suspend fun await(attempt: Int)
}

/**
 * Doubles the delay with each attempt.
 *
 * @property initialDelayMilliseconds delay after the first attempt.
 * @property maxDelayMilliseconds maximum delay.
 */
public class ExponentialBackoff(
    private val initialDelayMilliseconds: Long = 25,
    private val maxDelayMilliseconds: Long = 5_000,
) : Backoff {
    override suspend fun await(attempt: Int) {
        val doublings = attempt.coerceAtMost(MAX_DOUBLINGS)
        delay((initialDelayMilliseconds shl doublings).coerceAtMost(maxDelayMilliseconds))
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
