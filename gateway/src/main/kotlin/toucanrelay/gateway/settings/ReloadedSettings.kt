package toucanrelay.gateway.settings

/**
 * What a running process takes over from settings that it has read again.
 *
 * @property inForce the settings that are in force from now on.
 * @property needsRestart names of the settings whose new values come into force when the process is started again.
 */
internal data class ReloadedSettings(
    val inForce: GatewaySettings,
    val needsRestart: List<String>,
)

/** The settings that a process keeps as long as it runs: its identity, its ports and what is derived from them. */
private val keptSettings =
    listOf(
        GatewaySettings::instance,
        GatewaySettings::failureDomain,
        GatewaySettings::region,
        GatewaySettings::address,
        GatewaySettings::callersAddress,
        GatewaySettings::readinessAddress,
        GatewaySettings::memberPorts,
        GatewaySettings::storeAddress,
        GatewaySettings::maxDescriptors,
    )

/** Returns what a process with these settings takes over from [loaded]. */
internal fun GatewaySettings.reloadedWith(loaded: GatewaySettings): ReloadedSettings =
    ReloadedSettings(
        copy(regions = loaded.regions, bounds = loaded.bounds, releasedSuspects = loaded.releasedSuspects),
        keptSettings.filter { it.get(this) != it.get(loaded) }.map { it.name },
    )
