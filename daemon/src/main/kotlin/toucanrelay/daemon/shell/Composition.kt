package toucanrelay.daemon.shell

import toucanrelay.daemon.agent.AgentRole
import toucanrelay.daemon.entry.EntryRole
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.fleet.FleetNode
import toucanrelay.daemon.order.OrderRegistry
import toucanrelay.daemon.order.TableOrderRegistry

/**
 * Which implementations a daemon is built from; tests replace single ones.
 *
 * @property orders builds the claims of non-idempotent orders.
 * @property role builds the entry or the agent.
 */
public class Composition(
    public val orders: (DaemonFoundation) -> OrderRegistry = { TableOrderRegistry(it.platform, it.scope) },
    public val role: (DaemonContext) -> Role = ::roleOf,
)

/** Builds the role that the settings name. */
private fun roleOf(context: DaemonContext): Role {
    val entry = context.settings.entry ?: return AgentRole(context)
    return EntryRole(context, EntryTuning(notReadyNoticeMilliseconds = entry.notReadyNoticeMilliseconds))
}

/** Builds what this process shares with the rest of the fleet. */
internal fun DaemonFoundation.toFleetNode(): FleetNode =
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

/** Builds the context that the parts of one daemon share. */
internal fun DaemonFoundation.toContext(fleet: FleetNode, orders: OrderRegistry): DaemonContext =
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
