package toucanrelay.soak

import toucanrelay.gateway.settings.Bounds
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.platform.standin.ReservedPorts

/** The address of all processes of a run. */
internal const val LOOPBACK = "127.0.0.1"

/**
 * Ports of a gateway on the loopback interface.
 *
 * @property member the first of its three member ports.
 */
internal class GatewayPorts(
    val callers: Int,
    val readiness: Int,
    val member: Int,
) {
    /** Returns the settings of the gateway [instance] at these ports. */
    fun settings(instance: String, storePort: Int, revocationMilliseconds: Long) =
        GatewaySettings(
            instance = instance,
            failureDomain = "domain",
            regions = mapOf("domain" to "region"),
            address = LOOPBACK,
            callersAddress = "$LOOPBACK:$callers",
            readinessAddress = "$LOOPBACK:$readiness",
            memberPorts = listOf(member, member + MEMBER_PORTS - 1),
            storeAddress = "$LOOPBACK:$storePort",
            bounds =
                Bounds(
                    revocationMilliseconds = revocationMilliseconds.toDouble(),
                    shutdownSeconds = SHUTDOWN_SECONDS.toDouble(),
                    retryRatio = 0.2,
                    retryReserve = 50.0,
                    retryWindowSeconds = 10.0,
                ),
        )

    internal companion object {
        /** Time from SIGTERM until a process must have ended. */
        const val SHUTDOWN_SECONDS = 4L
        private const val MEMBER_PORTS = 3

        /** Returns ports for [count] gateways that no other process uses. */
        fun free(count: Int): List<GatewayPorts> =
            List(count) {
                GatewayPorts(ReservedPorts.take(), ReservedPorts.take(), ReservedPorts.take(MEMBER_PORTS))
            }
    }
}
