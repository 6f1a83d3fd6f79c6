package toucanrelay.gateway.follow

/** Applies changes of one table of the store to the state of this process. */
internal interface FollowedTable {
    /** The table's name in logs and between members. */
    val name: String

    /** The table's name in the store. */
    val nameInStore: String

    /** Whether the process cannot serve requests with its present copy of the table. */
    val isUrgent: Boolean

    /** Applies [change]. */
    fun apply(change: TableChange)

    /** Records that an outage of the store ended [agoMilliseconds] ago. */
    fun recordOutageEnd(agoMilliseconds: Long)

    /** Records that rows may have been written and deleted again which this process has not seen. */
    fun recordMissedRows()
}
