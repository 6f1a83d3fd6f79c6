package toucanrelay.core.shutdown

/**
 * A request that waits in a process that is shutting down.
 *
 * @property remainingMilliseconds time until its deadline.
 * @property longestMilliseconds longest recent time from sending such a request to its complete answer; null if none is
 *   known.
 * @property objectiveMilliseconds latency objective of its route.
 * @property mayRunAgain whether its caller may send it again if its answer is cut off.
 */
public data class DrainingRequest(
    public val remainingMilliseconds: Long,
    public val longestMilliseconds: Long?,
    public val objectiveMilliseconds: Long,
    public val mayRunAgain: Boolean,
)

/**
 * Decides which requests a process that is shutting down still sends to targets, so that the end of the process cuts
 * off none of them. Another process can serve those that it refuses.
 */
public object DrainPolicy {
    /** Returns whether the answer to [request] will probably be complete before the process ends in [milliseconds]. */
    public fun maySend(request: DrainingRequest, milliseconds: Long): Boolean =
        request.remainingMilliseconds <= milliseconds || expectedMilliseconds(request) <= milliseconds

    private fun expectedMilliseconds(request: DrainingRequest): Double =
        when {
            request.mayRunAgain -> (request.longestMilliseconds ?: request.objectiveMilliseconds) * REPEATABLE_MARGIN
            request.longestMilliseconds != null -> request.longestMilliseconds * AT_MOST_ONCE_MARGIN
            else -> Double.POSITIVE_INFINITY
        }

    private const val REPEATABLE_MARGIN = 1.25

    /** Wider, since the caller of a request that was cut off cannot find out whether it has run. */
    private const val AT_MOST_ONCE_MARGIN = 2.0
}
