package toucanrelay.daemon.agent.link

import io.grpc.Status
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.tinylog.kotlin.Logger
import toucanrelay.core.grant.GrantId
import toucanrelay.core.grant.OrganisationDemand
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.liveness.HeartbeatSettings
import toucanrelay.daemon.agent.AgentMeters
import toucanrelay.daemon.agent.work.CapacityAnnouncement
import toucanrelay.daemon.agent.work.RequestExecutor
import toucanrelay.daemon.fleet.ControlKind
import toucanrelay.daemon.fleet.ControlTraffic
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.wire.AgentHello
import toucanrelay.wire.AgentMessage
import toucanrelay.wire.CacheChange
import toucanrelay.wire.Capacity
import toucanrelay.wire.Demand
import toucanrelay.wire.EntryMessage
import toucanrelay.wire.Heartbeat
import toucanrelay.wire.ProcessIdentity

/** Serves the control streams of entries. */
internal class ControlStreams(
    private val context: DaemonContext,
    private val executor: RequestExecutor,
    private val links: EntryLinks,
    private val meters: AgentMeters,
    private val cachedPrefixes: () -> CacheChange,
    private val heartbeatSettings: HeartbeatSettings = HeartbeatSettings(),
) {
    private val traffic = ControlTraffic(context.meters)

    /** Serves one control stream until either side closes it or the entry goes silent. */
    fun serve(requests: Flow<EntryMessage>): Flow<AgentMessage> =
        channelFlow {
            val link = EntryLink(links.nextId(), context.clock, heartbeatSettings)
            links.add(link)
            try {
                link.send(AgentMessage.newBuilder().setHello(hello()).build())
                link.send(AgentMessage.newBuilder().setCacheChange(cachedPrefixes()).build())
                val sending = launch { sendFrom(link) }
                val announcements = launch { announceCapacity(link) }
                val heartbeats = launch { sendHeartbeats(link) }
                requests.collect { receive(link, it) }
                listOf(announcements, heartbeats, sending).forEach { it.cancel() }
            } finally {
                links.remove(link)
                executor.removeLink(link.id)
            }
        }

    /** Sends queued messages; fails when the entry reads so slowly that the queue overflowed. */
    private suspend fun ProducerScope<AgentMessage>.sendFrom(link: EntryLink) {
        for (message in link.outbox) send(countSent(message))
        Logger.warn("agent: closing the link of an entry that reads its messages too slowly")
        throw Status.RESOURCE_EXHAUSTED.withDescription("messages were not taken").asException()
    }

    private fun countSent(message: AgentMessage): AgentMessage {
        traffic.recordSent(message.kind, message.serializedSize)
        return message
    }

    private fun receive(link: EntryLink, message: EntryMessage) {
        link.recordReceived()
        traffic.recordReceived(message.kind, message.serializedSize)
        when (message.messageCase) {
            EntryMessage.MessageCase.HEARTBEAT -> {
                onHeartbeat(link, message.heartbeat)
            }

            EntryMessage.MessageCase.DEMAND -> {
                executor.updateDemand(link.id, message.demand.toDemand())
            }

            EntryMessage.MessageCase.GRANT_DECLINED -> {
                executor.declineGrant(link.id, GrantId(message.grantDeclined.grantId))
            }

            EntryMessage.MessageCase.BUNDLE_WANTED -> {
                context.bundleExchange.updateFor(message.bundleWanted)?.let {
                    link.send(AgentMessage.newBuilder().setBundleUpdate(it).build())
                }
            }

            EntryMessage.MessageCase.BUNDLE_UPDATE -> {
                context.bundleExchange.receiveUpdate(message.bundleUpdate)
            }

            EntryMessage.MessageCase.HELLO -> {
                Logger.info("agent: entry {} linked", message.hello.entry.instanceId)
            }

            else -> {
                Unit
            }
        }
    }

    private fun onHeartbeat(link: EntryLink, heartbeat: Heartbeat) {
        link.lastReceivedSequence = heartbeat.sequence
        context.bundleExchange.receiveHeartbeat(heartbeat)?.let {
            link.send(AgentMessage.newBuilder().setBundleWanted(it).build())
        }
    }

    /** Sends a heartbeat at each interval and on request; fails when the entry goes silent. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun sendHeartbeats(link: EntryLink) {
        while (true) {
            val heartbeat = context.bundleExchange.heartbeat(link.nextSequence(), link.lastReceivedSequence)
            link.send(AgentMessage.newBuilder().setHeartbeat(heartbeat).build())
            select {
                link.heartbeatRequests.onReceive { }
                onTimeout(heartbeatSettings.intervalMilliseconds) { }
            }
            if (link.isSilent()) {
                meters.recordSilentLink()
                Logger.warn("agent: closing the link of a silent entry")
                throw Status.UNAVAILABLE
                    .withDescription(
                        "no message for ${heartbeatSettings.silenceMilliseconds} ms",
                    ).asException()
            }
        }
    }

    /** Sends the capacity when it has changed; changed request counts alone do not cause a message. */
    private suspend fun announceCapacity(link: EntryLink) {
        var sent: CapacityAnnouncement? = null
        for (change in link.capacityChanges) {
            val announcement = executor.announcement(link.id)
            if (!announcement.isEquivalentTo(sent)) {
                link.send(AgentMessage.newBuilder().setCapacity(announcement.toWire()).build())
                sent = announcement
            }
            delay(COALESCING_MILLISECONDS)
        }
    }

    private fun hello(): AgentHello {
        val settings = context.settings
        return AgentHello
            .newBuilder()
            .setAgent(
                ProcessIdentity
                    .newBuilder()
                    .setInstanceId(context.run.instance.value)
                    .setIncarnation(context.run.incarnation.value),
            ).setTarget(checkNotNull(settings.agent).targetId)
            .setRegion(settings.region)
            .setFailureDomain(settings.failureDomain)
            .build()
    }

    private companion object {
        /** Changes within this time are sent as one announcement. */
        const val COALESCING_MILLISECONDS = 20L
    }
}

private val AgentMessage.kind: ControlKind
    get() =
        when (messageCase) {
            AgentMessage.MessageCase.HELLO -> ControlKind.HELLO
            AgentMessage.MessageCase.HEARTBEAT -> ControlKind.HEARTBEAT
            AgentMessage.MessageCase.BUNDLE_WANTED, AgentMessage.MessageCase.BUNDLE_UPDATE -> ControlKind.BUNDLE
            else -> ControlKind.CAPACITY
        }

private val EntryMessage.kind: ControlKind
    get() =
        when (messageCase) {
            EntryMessage.MessageCase.HELLO -> ControlKind.HELLO
            EntryMessage.MessageCase.HEARTBEAT -> ControlKind.HEARTBEAT
            EntryMessage.MessageCase.BUNDLE_WANTED, EntryMessage.MessageCase.BUNDLE_UPDATE -> ControlKind.BUNDLE
            else -> ControlKind.DEMAND
        }

private fun CapacityAnnouncement.toWire(): Capacity =
    Capacity
        .newBuilder()
        .setLimit(limit)
        .setInFlight(inFlight)
        .setStaged(staged)
        .setFree(free)
        .setCold(isCold)
        .setDraining(isDraining)
        .addAllPools(pools)
        .build()

private fun Demand.toDemand(): List<OrganisationDemand> =
    poolsList.flatMap { pool ->
        pool.organisationsList.map {
            OrganisationDemand(
                pool = Pool.named(pool.pool),
                organisation = OrganisationId(it.organisation),
                waiting = it.waiting,
                virtualTime = it.virtualTime,
                headCost = it.headCost,
                share = it.share,
                headWaitingMilliseconds = it.headWaitingMilliseconds,
            )
        }
    }
