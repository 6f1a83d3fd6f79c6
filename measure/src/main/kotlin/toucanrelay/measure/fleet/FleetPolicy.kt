package toucanrelay.measure.fleet

/** By what waiting requests are ordered over the fleet; all but the first are baselines. */
public enum class FleetPolicy(
    internal val label: String,
) {
    /** By service over the whole fleet. */
    LEAST_VIRTUAL_TIME_FLEET("fleet virtual time"),

    /** By service given through each entry alone. */
    LEAST_VIRTUAL_TIME_ENTRY("per-entry virtual time"),

    /** By arrival. */
    FIRST_COME_FIRST_SERVED("first come first served"),
}
