package toucanrelay.daemon.entry

/** By what an entry orders the organisations that wait; all but the first are baselines for measurements. */
public enum class EntryOrdering {
    /** By service over the whole fleet. */
    FLEET_VIRTUAL_TIME,

    /** By service given through this entry alone. */
    OWN_VIRTUAL_TIME,

    /** By arrival. */
    FIRST_COME_FIRST_SERVED,
}
