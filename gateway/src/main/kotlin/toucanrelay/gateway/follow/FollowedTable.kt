package toucanrelay.gateway.follow

import toucanrelay.platform.StoreRow

/** A table of the store that the process follows. */
internal interface FollowedTable {
    /** The table's name in logs and between members. */
    val name: String

    /** The table's name in the store. */
    val nameInStore: String

    /** Whether the process cannot serve with what it knows. */
    val isUrgent: Boolean

    /** Takes [rows], which are all that stand when [isWhole], and were right at [confirmedAtMilliseconds]. */
    fun take(rows: List<StoreRow>, isWhole: Boolean, confirmedAtMilliseconds: Long)

    /** Notes that the store came back from an outage [agoMilliseconds] ago. */
    fun noteOutageEnded(agoMilliseconds: Long)
}
