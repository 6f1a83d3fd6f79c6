package toucanrelay.gateway.settings

import kotlinx.serialization.Serializable
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.target.TargetAddress

/**
 * Bounds within which the fleet has to act.
 *
 * @property revocationMilliseconds from the acknowledgement that a key is gone until no request with it runs.
 * @property shutdownSeconds from SIGTERM until the process is killed.
 * @property retryRatio retries allowed for each request, over the fleet.
 * @property retryReserve retries allowed beside those in a window, over the fleet.
 * @property retryWindowSeconds length of that window.
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
 * Settings of one gateway process, as they stand in its JSON file.
 *
 * @property regions the region of each failure domain.
 * @property address this instance's IP address.
 * @property callersAddress `host:port` that callers connect to.
 * @property readinessAddress `host:port` at which the balancer asks whether the process is ready.
 * @property memberPorts first and last port for traffic between instances, on every instance the same.
 * @property storeAddress `host:port` of the platform's store.
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
) {
    /** This instance. */
    public val instanceId: InstanceId
        get() = InstanceId(instance)

    /** The port for datagrams between members. */
    public val memberPort: Int
        get() = memberPorts.first()

    /** The port at which other members ask for copies of the store's tables. */
    public val tablePort: Int
        get() = memberPorts.first() + TABLE_PORT_OFFSET

    /** The port at which metrics are served. */
    public val metricsPort: Int
        get() = memberPorts.first() + METRICS_PORT_OFFSET

    /** The region of [failureDomain]; null when the settings do not name it. */
    public fun regionOf(failureDomain: FailureDomainId): RegionId? = regions[failureDomain.value]?.let { RegionId(it) }

    /** This instance's region. */
    public val region: RegionId?
        get() = regionOf(FailureDomainId(failureDomain))

    public companion object {
        private const val METRICS_PORT_OFFSET = 1

        /** Distance of the port for copies of tables from the one for digests, on every instance the same. */
        internal const val TABLE_PORT_OFFSET = 2

        /** Splits `host:port`; null when [text] is something else. */
        public fun addressOf(text: String): TargetAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            return TargetAddress(text.substringBeforeLast(':'), port)
        }
    }
}
