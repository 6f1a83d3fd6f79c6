package toucanrelay.daemon.entry.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.limit.TokenBucket
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTuning
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceState

/** Receives changes to the set of agents that the entry links to. */
internal interface LinkMembershipListener {
    /** Called when the entry adds a link to an agent. */
    fun onLinkAdded(link: AgentLink)

    /** Called when the entry removes the link; no new requests are sent over it. */
    fun onLinkRemoved(link: AgentLink)

    /** Called with all [instances] that are about to stop; no new requests are sent to them. */
    fun onLeaving(instances: Set<InstanceId>)
}

/**
 * Maintains a link to each agent that the directory assigns to this entry.
 *
 * A link that is no longer assigned stays up until the requests running over it have ended.
 */
internal class AgentLinks(
    private val context: DaemonContext,
    private val tuning: EntryTuning,
    private val meters: EntryMeters,
    private val channels: ChannelFactory,
) {
    private val links = HashMap<InstanceId, RunningLink>()
    private val demandBudget =
        TokenBucket(context.clock, tuning.demandBytesPerSecond, tuning.demandBytesPerSecond * DEMAND_BURST_SECONDS)

    /** Updates the links on each change of the directory, until cancelled. */
    suspend fun <T> follow(
        scope: CoroutineScope,
        owner: T,
    ) where T : LinkListener, T : LinkMembershipListener, T : DemandSource {
        context.directory.linkedAgents.collect { records -> update(records, scope, owner) }
    }

    private fun <T> update(
        records: List<InstanceRecord>,
        scope: CoroutineScope,
        owner: T,
    ) where T : LinkListener, T : LinkMembershipListener, T : DemandSource {
        val wanted = records.associateBy { it.instance }
        owner.onLeaving(records.filter { it.state == InstanceState.LEAVING }.mapTo(HashSet()) { it.instance })
        val removed = links.values.filter { !it.matches(wanted[it.link.record.instance]) }
        removed.forEach { running ->
            links.remove(running.link.record.instance)
            owner.onLinkRemoved(running.link)
            scope.launch {
                running.link.awaitIdle()
                running.job.cancel()
            }
        }
        wanted.filterKeys { it !in links }.forEach { (instance, record) ->
            val link = AgentLink(record, context, tuning, meters, channels, owner, demandBudget)
            owner.onLinkAdded(link)
            links[instance] = RunningLink(link, scope.launch(ChannelFactory.controlDispatcher) { link.run(owner) })
        }
    }

    private companion object {
        const val DEMAND_BURST_SECONDS = 2
    }

    private class RunningLink(
        val link: AgentLink,
        val job: Job,
    ) {
        /** Returns whether [record] has the address and target of this link; its listed state may differ. */
        fun matches(record: InstanceRecord?): Boolean =
            record != null && record.host == link.record.host && record.port == link.record.port &&
                record.target == link.record.target
    }
}
