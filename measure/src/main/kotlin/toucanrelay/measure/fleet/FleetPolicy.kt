package toucanrelay.measure.fleet

/** Order in which the fleet serves waiting requests; all but the first are baselines for comparison. */
public enum class FleetPolicy(
    internal val label: String,
) {
    /** By the service that an organisation received from the whole fleet, least first. */
    LEAST_VIRTUAL_TIME_FLEET("fleet virtual time"),

    /** By the service that an organisation received through the same entry, least first. */
    LEAST_VIRTUAL_TIME_ENTRY("per-entry virtual time"),

    /** By time of arrival. */
    FIRST_COME_FIRST_SERVED("first come first served"),
}
