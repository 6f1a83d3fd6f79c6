package toucanrelay.daemon.entry.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.limit.TokenBucket
import toucanrelay.daemon.entry.EntryMeters
import toucanrelay.daemon.entry.EntryTerms
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceState

/** Is told which agents the entry links to. */
internal interface LinkMembership {
    /** The entry begins to link to an agent. */
    fun onLinkAdded(link: AgentLink)

    /** The entry gives the link up: no new work goes over it. */
    fun onLinkRemoved(link: AgentLink)

    /** These instances are going to stop: no new work goes to them. */
    fun onLeaving(instances: Set<InstanceId>)
}

/**
 * Keeps a link to each agent that the directory assigns to this entry.
 *
 * A link that is no longer assigned stays up until the requests that run over it have ended.
 */
internal class AgentLinks(
    private val context: DaemonContext,
    private val terms: EntryTerms,
    private val meters: EntryMeters,
    private val channels: ChannelFactory,
) {
    private val links = HashMap<InstanceId, RunningLink>()
    private val demandBudget =
        TokenBucket(context.clock, terms.demandBytesPerSecond, terms.demandBytesPerSecond * DEMAND_BURST_SECONDS)

    /** Follows the directory until cancelled. */
    suspend fun <T> follow(
        scope: CoroutineScope,
        owner: T,
    ) where T : LinkListener, T : LinkMembership, T : DemandSource {
        context.directory.linkedAgents.collect { records -> update(records, scope, owner) }
    }

    private fun <T> update(
        records: List<InstanceRecord>,
        scope: CoroutineScope,
        owner: T,
    ) where T : LinkListener, T : LinkMembership, T : DemandSource {
        val wanted = records.associateBy { it.instance }
        owner.onLeaving(records.filter { it.state == InstanceState.LEAVING }.mapTo(HashSet()) { it.instance })
        val gone = links.values.filter { !it.serves(wanted[it.link.record.instance]) }
        gone.forEach { running ->
            links.remove(running.link.record.instance)
            owner.onLinkRemoved(running.link)
            scope.launch {
                running.link.awaitIdle()
                running.job.cancel()
            }
        }
        wanted.filterKeys { it !in links }.forEach { (instance, record) ->
            val link = AgentLink(record, context, terms, meters, channels, owner, demandBudget)
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
        /** Whether the link reaches the instance where [record] says it is now; its state on the list may differ. */
        fun serves(record: InstanceRecord?): Boolean =
            record != null && record.host == link.record.host && record.port == link.record.port &&
                record.target == link.record.target
    }
}
