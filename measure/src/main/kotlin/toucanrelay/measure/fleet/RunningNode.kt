package toucanrelay.measure.fleet

import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.shell.BoundPorts
import toucanrelay.daemon.shell.Daemon
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.ListedInstance
import toucanrelay.standins.ModelEngine
import toucanrelay.standins.PlainService

/**
 * A running daemon.
 *
 * @property listedInstance the daemon's entry in the platform's instance list.
 * @property daemon the daemon.
 * @property ports the ports that the daemon is bound to.
 * @property bundles register of the bundle in force in the daemon.
 * @property link the forwarder that peers connect through; null when they connect directly.
 */
internal class RunningNode(
    val listedInstance: ListedInstance,
    val daemon: Daemon,
    val ports: BoundPorts,
    val bundles: BundleRegister,
    val link: CuttableLink?,
) {
    /** Bytes forwarded on the links to this node in both directions; 0 without a forwarder. */
    val linkBytes: Long
        get() = link?.let { it.bytesToTarget + it.bytesToClients } ?: 0

    /** Whether a peer is connected through the forwarder; always true without one. */
    val isLinked: Boolean
        get() = link == null || link.openConnections > 0
}

/** A model engine with its agent. */
internal class RunningEngine(
    val plan: ModelTargetPlan,
    val engine: ModelEngine,
    val agent: RunningNode,
)

/** An instance of a plain service with its agent. */
internal class RunningService(
    val plan: ServiceTargetPlan,
    val service: PlainService,
    val agent: RunningNode,
)
