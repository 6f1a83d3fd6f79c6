package toucanrelay.gateway.follow

import toucanrelay.platform.StoreRow
import toucanrelay.platform.StoreVersion

/**
 * Rows of a table that were read from the store or from another member.
 *
 * @property rows all rows if [isWhole], else the changed rows, including deleted ones.
 * @property version version of the store at which the rows were read.
 * @property confirmedAtMilliseconds time on this process's clock; the rows were read from the store no earlier.
 * @property outageEndedMillisecondsAgo time since the last known outage of the store ended; null when none is known.
 */
internal class TableUpdate(
    val rows: List<StoreRow>,
    val version: StoreVersion,
    val isWhole: Boolean,
    val confirmedAtMilliseconds: Long,
    val outageEndedMillisecondsAgo: Long?,
)
