package toucanrelay.standins

import kotlinx.serialization.Serializable

/**
 * Settings of a [PlatformStandIn].
 *
 * @property host IP address to listen on.
 * @property port port to listen on; 0 picks a free port.
 * @property weightReadsPerSecond reads per second that the weight store answers; excess reads get 429.
 * @property tableWritesPerSecond writes per second that the table service accepts; excess ones get 429. 0 for no limit.
 */
public data class PlatformSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val weightReadsPerSecond: Double = 10.0,
    public val tableWritesPerSecond: Double = 0.0,
)

/**
 * Faults injected into the platform's services.
 *
 * @property down whether every service answers 503 without processing the call.
 * @property delayMilliseconds delay before a call is processed.
 * @property loseAnswersOfNextWrites number of next writes that take effect but whose connection is closed without an
 *   answer.
 * @property listLagMilliseconds age of the returned instance list.
 */
@Serializable
public data class PlatformFaults(
    public val down: Boolean = false,
    public val delayMilliseconds: Long = 0,
    public val loseAnswersOfNextWrites: Int = 0,
    public val listLagMilliseconds: Long = 0,
)

/**
 * Number of calls to the platform's services, by kind.
 *
 * @property tableReads reads of rows.
 * @property tableWrites writes and deletions of rows, including rejected ones.
 * @property tableConflicts writes and deletions whose condition was not met.
 * @property objectReads reads of objects.
 * @property objectWrites writes of objects.
 * @property listReads reads of the instance list.
 * @property weightReads reads of weights, including rate-limited ones.
 */
public data class PlatformCounts(
    public val tableReads: Long,
    public val tableWrites: Long,
    public val tableConflicts: Long,
    public val objectReads: Long,
    public val objectWrites: Long,
    public val listReads: Long,
    public val weightReads: Long,
)
