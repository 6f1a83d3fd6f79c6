package toucanrelay.standins

import kotlinx.serialization.Serializable

/**
 * How a [PlatformStandIn] behaves.
 *
 * @property host IP number to listen on.
 * @property port port to listen on; 0 for any free one.
 * @property weightReadsPerSecond reads of the weight store that are answered in a second; others get 429.
 * @property tableWritesPerSecond writes to the table service that are answered in a second; 0 for no limit.
 */
public data class PlatformSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val weightReadsPerSecond: Double = 10.0,
    public val tableWritesPerSecond: Double = 0.0,
)

/**
 * What goes wrong with the platform's services.
 *
 * @property down whether every service answers 503 without doing anything.
 * @property delayMilliseconds time before a call is looked at.
 * @property loseAnswersOfNextWrites writes that take effect next but get no answer: their connection is closed.
 * @property listLagMilliseconds age of the list of instances that is given out.
 */
@Serializable
public data class PlatformFaults(
    public val down: Boolean = false,
    public val delayMilliseconds: Long = 0,
    public val loseAnswersOfNextWrites: Int = 0,
    public val listLagMilliseconds: Long = 0,
)

/**
 * Calls that the platform's services answered.
 *
 * @property tableReads reads of rows.
 * @property tableWrites writes and deletions of rows, refused ones included.
 * @property tableConflicts writes and deletions whose condition did not hold.
 * @property objectReads reads of objects.
 * @property objectWrites writes of objects.
 * @property listReads reads of the list of instances.
 * @property weightReads reads of weights, limited ones included.
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
