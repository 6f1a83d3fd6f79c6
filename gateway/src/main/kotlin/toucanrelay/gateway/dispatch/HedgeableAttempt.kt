package toucanrelay.gateway.dispatch

/** An attempt at a request, as far as its silence decides whether the request is sent to another target as well. */
internal interface HedgeableAttempt {
    /** When the request was sent. */
    val sentAtMilliseconds: Long

    /** When the target last sent anything on any connection. */
    val targetHeardAtMilliseconds: Long

    /** When the newest part of a stream that has begun was passed on; null before. */
    val lastPartAtMilliseconds: Long?

    /** Maximum time for which a healthy target sends nothing while it processes the request. */
    val maxSilenceMilliseconds: Double

    /** Whether this process does not read the answer at present, because its caller is slow. */
    val isPaused: Boolean

    /** Runs the attempt; cancellation closes the connection, so that the target aborts the request. */
    suspend fun run(): AttemptResult

    /** Records that the target has sent nothing for longer than a healthy one may. */
    fun recordTargetSilent()
}
