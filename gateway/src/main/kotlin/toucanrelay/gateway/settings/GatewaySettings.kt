package toucanrelay.gateway.settings

import kotlinx.serialization.Serializable
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.quarantine.Suspect
import toucanrelay.core.target.TargetAddress

/**
 * Time limits and retry limits of the fleet.
 *
 * @property revocationMilliseconds maximum time from the acknowledged removal of a key until no request with it runs.
 * @property shutdownSeconds time from SIGTERM until the process is killed.
 * @property retryRatio retries allowed per caller request in a window, across the fleet.
 * @property retryReserve additional retries allowed in a window, across the fleet.
 * @property retryWindowSeconds length of the window.
 */
@Serializable
public data class Bounds(
    public val revocationMilliseconds: Double,
    public val shutdownSeconds: Double,
    public val retryRatio: Double,
    public val retryReserve: Double,
    public val retryWindowSeconds: Double,
)

/**
 * Settings of one gateway process, decoded from its JSON file.
 *
 * @property regions the region of each failure domain.
 * @property address this instance's IP address.
 * @property callersAddress `host:port` to which callers connect.
 * @property readinessAddress `host:port` at which the load balancer probes whether the process is ready.
 * @property memberPorts first and last port for traffic between instances; the same on every instance.
 * @property storeAddress `host:port` of the platform's store.
 * @property releasedSuspects prompt parts and requests that operators declare sound when the settings are reloaded, in
 *   the text form of [Suspect].
 * @property maxDescriptors number of files and sockets that the process may have open.
 */
@Serializable
public data class GatewaySettings(
    public val instance: String,
    public val failureDomain: String,
    public val regions: Map<String, String>,
    public val address: String,
    public val callersAddress: String,
    public val readinessAddress: String,
    public val memberPorts: List<Int>,
    public val storeAddress: String,
    public val bounds: Bounds,
    public val maxDescriptors: Int = DEFAULT_MAX_DESCRIPTORS,
    public val releasedSuspects: List<String> = emptyList(),
) {
    /** Identifier of this instance. */
    public val instanceId: InstanceId
        get() = InstanceId(instance)

    /** The UDP port for digests between members. */
    public val memberPort: Int
        get() = memberPorts.first()

    /** The port at which other members read copies of the store's tables. */
    public val tablePort: Int
        get() = memberPorts.first() + TABLE_PORT_OFFSET

    /** The port at which metrics are served. */
    public val metricsPort: Int
        get() = memberPorts.first() + METRICS_PORT_OFFSET

    /** Number of connections that callers may hold; the other descriptors are for files, targets, members and the store. */
    internal val maxCallerConnections: Int
        get() = (maxDescriptors * CALLER_FRACTION_OF_DESCRIPTORS).toInt()

    /** Returns the region of [failureDomain], or null if the settings do not list it. */
    public fun regionOf(failureDomain: FailureDomainId): RegionId? = regions[failureDomain.value]?.let { RegionId(it) }

    /** This instance's region. */
    public val region: RegionId?
        get() = regionOf(FailureDomainId(failureDomain))

    public companion object {
        private const val METRICS_PORT_OFFSET = 1
        private const val DEFAULT_MAX_DESCRIPTORS = 1_024
        private const val CALLER_FRACTION_OF_DESCRIPTORS = 0.6

        /** Offset of the port for copies of tables from the one for digests; the same on every instance. */
        internal const val TABLE_PORT_OFFSET = 2

        /** Parses `host:port`; returns null if [text] has another form. */
        public fun addressOf(text: String): TargetAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            return TargetAddress(text.substringBeforeLast(':'), port)
        }
    }
}
