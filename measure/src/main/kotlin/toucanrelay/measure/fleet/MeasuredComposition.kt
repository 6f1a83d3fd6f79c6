package toucanrelay.measure.fleet

import toucanrelay.core.grant.FirstComeFirstServed
import toucanrelay.core.grant.LeastVirtualTime
import toucanrelay.daemon.agent.AgentRole
import toucanrelay.daemon.entry.EntryOrdering
import toucanrelay.daemon.entry.EntryRole
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.shell.Composition
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.daemon.shell.Role

/**
 * Returns the daemon's usual composition, except that waiting requests are served in the order of [policy].
 *
 * @param onBuilt called with the daemon's bundle register when the daemon is built.
 */
internal fun measuredComposition(policy: FleetPolicy, onBuilt: (BundleRegister) -> Unit): Composition =
    Composition(
        role = { context ->
            onBuilt(context.bundles)
            newRole(context, policy)
        },
    )

private fun newRole(context: DaemonContext, policy: FleetPolicy): Role =
    context.settings.entry?.let { entry ->
        val tuning =
            EntryTuning(
                ordering = policy.entryOrdering(),
                notReadyNoticeMilliseconds = entry.notReadyNoticeMilliseconds,
            )
        EntryRole(context, tuning)
    } ?: run {
        AgentRole(
            context,
            if (policy ==
                FleetPolicy.FIRST_COME_FIRST_SERVED
            ) {
                FirstComeFirstServed
            } else {
                LeastVirtualTime
            },
        )
    }

private fun FleetPolicy.entryOrdering(): EntryOrdering =
    when (this) {
        FleetPolicy.LEAST_VIRTUAL_TIME_FLEET -> EntryOrdering.FLEET_VIRTUAL_TIME
        FleetPolicy.LEAST_VIRTUAL_TIME_ENTRY -> EntryOrdering.OWN_VIRTUAL_TIME
        FleetPolicy.FIRST_COME_FIRST_SERVED -> EntryOrdering.FIRST_COME_FIRST_SERVED
    }
