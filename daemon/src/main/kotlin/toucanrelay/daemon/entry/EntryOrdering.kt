package toucanrelay.daemon.entry

/** How an entry orders organisations with waiting requests; all but the first are baselines for measurements. */
public enum class EntryOrdering {
    /** By the service received across the fleet. */
    FLEET_VIRTUAL_TIME,

    /** By the service received through this entry only. */
    OWN_VIRTUAL_TIME,

    /** By the arrival of their oldest requests. */
    FIRST_COME_FIRST_SERVED,
}
