package toucanrelay.measure.fleet

import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.shell.BoundPorts
import toucanrelay.daemon.shell.Daemon
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.ListedInstance
import toucanrelay.standins.ModelEngine
import toucanrelay.standins.PlainService

/**
 * A started daemon.
 *
 * @property listed the instance as the platform lists it.
 * @property daemon the daemon.
 * @property ports the ports it is bound to.
 * @property bundles the bundle in force on it.
 * @property link the forwarder that its peers connect to; null when they connect to the node itself.
 */
internal class RunningNode(
    val listed: ListedInstance,
    val daemon: Daemon,
    val ports: BoundPorts,
    val bundles: BundleRegister,
    val link: CuttableLink?,
) {
    /** Bytes that passed over the links to this node, both ways. */
    val linkBytes: Long
        get() = link?.let { it.bytesToTarget + it.bytesToClients } ?: 0

    /** Whether a peer is connected, as far as a forwarder shows it. */
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
