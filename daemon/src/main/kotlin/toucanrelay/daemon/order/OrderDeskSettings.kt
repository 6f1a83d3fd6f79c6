package toucanrelay.daemon.order

import kotlinx.coroutines.delay

/**
 * How one entry claims orders.
 *
 * @property claimsPerSecond claims the entry writes on average; each order costs two writes.
 * @property claimBurst claims the entry writes at once.
 * @property claimLifetimeMilliseconds time after which a claim without an outcome counts as unknown; longer than a
 *   request may run.
 * @property attempts calls to the table service for one step before it is given up or goes on in the background.
 * @property answerBytes largest body that is recorded; the outcome of a larger one is recorded as unknown.
 * @property pause waits between attempts.
 */
public class OrderDeskSettings(
    public val claimsPerSecond: Double = 20.0,
    public val claimBurst: Double = 50.0,
    public val claimLifetimeMilliseconds: Long = 330_000,
    public val attempts: Int = 4,
    public val answerBytes: Int = 262_144,
    public val pause: AttemptPause = ExponentialPause(),
)

/** Waits between two calls to the table service. */
public fun interface AttemptPause {
    /** Waits before the attempt after [attempt], which counts from 0. */
    public suspend fun await(attempt: Int)
}

/**
 * Doubles the wait with each attempt.
 *
 * @property firstMilliseconds the wait after the first attempt.
 * @property longestMilliseconds the longest wait.
 */
public class ExponentialPause(
    private val firstMilliseconds: Long = 25,
    private val longestMilliseconds: Long = 5_000,
) : AttemptPause {
    override suspend fun await(attempt: Int) {
        val doublings = attempt.coerceAtMost(MOST_DOUBLINGS)
        delay((firstMilliseconds shl doublings).coerceAtMost(longestMilliseconds))
    }

    private companion object {
        const val MOST_DOUBLINGS = 16
    }
}
