package toucanrelay.daemon.shell

import toucanrelay.daemon.agent.AgentRole
import toucanrelay.daemon.entry.EntryRole
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.fleet.FleetNode
import toucanrelay.daemon.order.OrderRegistry
import toucanrelay.daemon.order.TableOrderRegistry

/**
 * Factories of the replaceable components of a daemon; tests and measurements replace single ones.
 *
 * @property orders creates the registry of non-idempotent orders.
 * @property role creates the entry or the agent.
 */
public class Composition(
    public val orders: (DaemonDependencies) -> OrderRegistry = { TableOrderRegistry(it.platform, it.scope) },
    public val role: (DaemonContext) -> Role = ::roleOf,
)

/** Creates the role that the settings select. */
private fun roleOf(context: DaemonContext): Role {
    val entry = context.settings.entry ?: return AgentRole(context)
    return EntryRole(context, EntryTuning(notReadyNoticeMilliseconds = entry.notReadyNoticeMilliseconds))
}

/** Creates the component that holds the state shared with the fleet. */
internal fun DaemonDependencies.toFleetNode(): FleetNode =
    FleetNode(
        settings = settings,
        run = run,
        clock = clock,
        scope = scope,
        meters = meters,
        tables = platform,
        instances = platform,
        verifier = verifier,
    )

/** Creates the context that the components of one daemon share. */
internal fun DaemonDependencies.toContext(fleet: FleetNode, orders: OrderRegistry): DaemonContext =
    DaemonContext(
        settings = settings,
        run = run,
        clock = clock,
        scope = scope,
        vertx = vertx,
        meters = meters,
        tables = platform,
        bundles = fleet.bundles,
        bundleExchange = fleet.bundleExchange,
        directory = fleet.directory,
        ledger = fleet.ledger,
        orders = orders,
    )
