package toucanrelay.gateway.follow

import toucanrelay.platform.StoreRow

/**
 * What a look at a table brought.
 *
 * @property rows all rows when [isWhole], else the rows that changed, deleted ones among them.
 * @property version the store's newest version when the rows were read from it.
 * @property confirmedAtMilliseconds a moment on this process's clock before which the rows were not read from the store.
 * @property outageEndedMillisecondsAgo how long ago the store came back from an outage, as far as is known.
 */
internal class TableNews(
    val rows: List<StoreRow>,
    val version: Long,
    val isWhole: Boolean,
    val confirmedAtMilliseconds: Long,
    val outageEndedMillisecondsAgo: Long?,
)
