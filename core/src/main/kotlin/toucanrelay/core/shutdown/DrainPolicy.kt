package toucanrelay.core.shutdown

/**
 * A request that waits in a process that is shutting down.
 *
 * @property remainingMilliseconds time until its deadline.
 * @property times how long such requests have taken; null if that is not known.
 * @property objectiveMilliseconds latency objective of its route.
 * @property mayRunAgain whether its caller may send it again if its answer is cut off.
 */
public data class DrainingRequest(
    public val remainingMilliseconds: Long,
    public val times: AnswerTimes?,
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
            request.mayRunAgain -> {
                MEAN_MARGIN *
                    (request.times?.meanMilliseconds ?: request.objectiveMilliseconds.toDouble())
            }

            request.times != null -> {
                LONGEST_MARGIN * request.times.longestMilliseconds
            }

            else -> {
                Double.POSITIVE_INFINITY
            }
        }

    /** A request that may run again continues elsewhere if it takes longer than most. */
    private const val MEAN_MARGIN = 2.0

    /** The caller of another request that is cut off cannot find out whether it has run. */
    private const val LONGEST_MARGIN = 1.25
}
