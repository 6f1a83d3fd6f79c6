package toucanrelay.daemon.agent

import io.grpc.BindableService
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import toucanrelay.core.admission.AdmissionBounds
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.grant.LeastVirtualTime
import toucanrelay.core.grant.OrderingPolicy
import toucanrelay.core.identity.TargetId
import toucanrelay.daemon.agent.lease.LeaseKeeper
import toucanrelay.daemon.agent.lease.ModelOrders
import toucanrelay.daemon.agent.link.AgentLinkService
import toucanrelay.daemon.agent.link.ControlStreams
import toucanrelay.daemon.agent.link.EntryLinks
import toucanrelay.daemon.agent.target.CacheFollower
import toucanrelay.daemon.agent.target.EngineClient
import toucanrelay.daemon.agent.target.ServiceClient
import toucanrelay.daemon.agent.target.TargetClient
import toucanrelay.daemon.agent.target.TargetConnection
import toucanrelay.daemon.agent.target.TargetMonitor
import toucanrelay.daemon.agent.target.TargetOutcome
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.daemon.agent.work.TargetStatus
import toucanrelay.daemon.agent.work.WorkDesk
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.daemon.shell.Role
import toucanrelay.store.instances.InstanceState
import toucanrelay.wire.ServeRequest

/**
 * The process in the slot beside one target: admits work to it and relays the answers.
 *
 * @param context what the parts of the daemon share.
 * @param policy order in which waiting requests get the target's slots.
 */
public class AgentRole(
    private val context: DaemonContext,
    policy: OrderingPolicy = LeastVirtualTime,
) : Role {
    private val settings = checkNotNull(context.settings.agent) { "the settings have no agent" }
    private val target = TargetId(settings.targetId)
    private val meters = AgentMeters(context.meters)
    private val connection = TargetConnection(context.vertx, settings.targetUrl)
    private val status = TargetStatus(context.run, target, context.bundles)
    private val links = EntryLinks()
    private val desk =
        WorkDesk(context, status, ClientByCall(connection, meters), meters, policy).also {
            it.board =
                links
        }
    private val cache = CacheFollower(connection, { status.hasModelList }, links::send)
    private val streams = ControlStreams(context, desk, links, meters, cache::whole)
    private val monitor = TargetMonitor(connection, target, context.bundles, status, desk)
    private val lease = LeaseKeeper(context.tables, target, context.run, context.clock)
    private val orders = ModelOrders(connection, lease, status, meters)
    private val jobs = mutableListOf<Job>()

    override val services: PersistentList<BindableService> =
        persistentListOf(AgentLinkService(context.run, desk, streams, meters))

    override suspend fun start() {
        meters.gauge("toucanrelay.agent.in.flight") { desk.inFlight }
        meters.gauge("toucanrelay.agent.staged") { desk.staged }
        meters.gauge("toucanrelay.agent.limit") { desk.limit }
        jobs += context.scope.launch { monitor.run() }
        jobs += context.scope.launch { cache.run() }
        jobs += context.scope.launch { orders.run() }
        jobs += context.scope.launch { followBundles() }
        jobs += context.scope.launch { followDirectory() }
        jobs += context.scope.launch { tick() }
        Logger.info("agent: beside target {}", target)
    }

    override fun isReady(): Boolean = status.state().outOfServiceReason == null && status.isReachable

    override suspend fun drain(limitMilliseconds: Long): Int {
        status.isStopping = true
        desk.afterChange()
        withTimeoutOrNull(limitMilliseconds) { while (desk.unfinished > 0) delay(DRAIN_POLL_MILLISECONDS) }
        val cut = desk.cutAll()
        if (cut > 0) Logger.warn("agent: {} requests cut after {} ms", cut, limitMilliseconds)
        return cut
    }

    override suspend fun close() {
        jobs.forEach { it.cancel() }
        connection.close()
    }

    private suspend fun followBundles() {
        var wasInService: Boolean? = null
        context.bundles.current.collect { bundle ->
            bundle?.let { terms(it) }?.let { desk.apply(it) }
            val isInService = bundle?.isInService(target) == true
            if (isInService && wasInService == false) desk.backInService()
            wasInService = isInService
            desk.afterChange()
            links.requestHeartbeats()
        }
    }

    private fun terms(bundle: Bundle): AdmissionBounds? =
        bundle.targets[target]?.let { AdmissionBounds(it.slots, it.coldSlots.coerceIn(1, it.slots)) }

    private suspend fun followDirectory() {
        context.directory.instances
            .map { list -> list.any { it.state == InstanceState.LEAVING && it.instance == context.run.instance } }
            .distinctUntilChanged()
            .collect { isLeaving ->
                if (isLeaving) Logger.info("agent: the platform's list says that this instance leaves")
                status.isLeaving = isLeaving
                desk.afterChange()
            }
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK_MILLISECONDS)
            desk.tick()
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 50L
        const val DRAIN_POLL_MILLISECONDS = 20L
    }
}

/** Sends model calls and service calls by the client for each. */
private class ClientByCall(
    connection: TargetConnection,
    meters: AgentMeters,
) : TargetClient {
    private val engine = EngineClient(connection, onResumed = meters::streamResumed)
    private val service = ServiceClient(connection)

    override suspend fun execute(request: ServeRequest, answer: AnswerBuffer): TargetOutcome =
        if (request.hasService()) service.execute(request, answer) else engine.execute(request, answer)
}
