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
import toucanrelay.daemon.agent.lease.LeaseClient
import toucanrelay.daemon.agent.lease.ModelLoader
import toucanrelay.daemon.agent.link.AgentLinkService
import toucanrelay.daemon.agent.link.ControlStreams
import toucanrelay.daemon.agent.link.EntryLinks
import toucanrelay.daemon.agent.target.CacheEventPoller
import toucanrelay.daemon.agent.target.EngineClient
import toucanrelay.daemon.agent.target.ServiceClient
import toucanrelay.daemon.agent.target.TargetClient
import toucanrelay.daemon.agent.target.TargetConnection
import toucanrelay.daemon.agent.target.TargetMonitor
import toucanrelay.daemon.agent.target.TargetOutcome
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.daemon.agent.work.RequestExecutor
import toucanrelay.daemon.agent.work.TargetStatus
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.daemon.shell.Role
import toucanrelay.store.instances.InstanceState
import toucanrelay.wire.ServeRequest

/**
 * The agent that runs next to one target, admits requests to it and relays the answers.
 *
 * @param context services shared by the components of the daemon.
 * @param policy order in which waiting requests get the target's slots.
 */
public class AgentRole(
    private val context: DaemonContext,
    policy: OrderingPolicy = LeastVirtualTime,
) : Role {
    private val settings = checkNotNull(context.settings.agent) { "the settings have no section \"agent\"" }
    private val target = TargetId(settings.targetId)
    private val meters = AgentMeters(context.meters)
    private val connection = TargetConnection(context.vertx, settings.targetUrl)
    private val status = TargetStatus(context.run, target, context.bundles)
    private val links = EntryLinks()
    private val executor =
        RequestExecutor(context, status, DispatchingClient(connection, meters), meters, policy).also {
            it.notifier =
                links
        }
    private val cacheEvents = CacheEventPoller(connection, { status.hasModelList }, links::send)
    private val streams = ControlStreams(context, executor, links, meters, cacheEvents::snapshot)
    private val monitor = TargetMonitor(connection, target, context.bundles, status, executor)
    private val lease = LeaseClient(context.tables, target, context.run, context.clock)
    private val modelLoader = ModelLoader(connection, lease, status, meters)
    private val jobs = mutableListOf<Job>()

    override val services: PersistentList<BindableService> =
        persistentListOf(AgentLinkService(context.run, executor, streams, meters))

    override suspend fun start() {
        meters.gauge("toucanrelay.agent.in.flight") { executor.inFlight }
        meters.gauge("toucanrelay.agent.staged") { executor.staged }
        meters.gauge("toucanrelay.agent.limit") { executor.limit }
        jobs += context.scope.launch { monitor.run() }
        jobs += context.scope.launch { cacheEvents.run() }
        jobs += context.scope.launch { modelLoader.run() }
        jobs += context.scope.launch { watchBundles() }
        jobs += context.scope.launch { watchDirectory() }
        jobs += context.scope.launch { tick() }
        Logger.info("agent: serving target {}", target)
    }

    override fun isReady(): Boolean = status.state().outOfServiceReason == null && status.isReachable

    override suspend fun drain(limitMilliseconds: Long): Int {
        status.isStopping = true
        executor.dispatch()
        withTimeoutOrNull(limitMilliseconds) { while (executor.unfinished > 0) delay(DRAIN_POLL_MILLISECONDS) }
        val aborted = executor.abortAll()
        if (aborted > 0) Logger.warn("agent: aborted {} requests after {} ms of draining", aborted, limitMilliseconds)
        return aborted
    }

    override suspend fun close() {
        jobs.forEach { it.cancel() }
        connection.close()
    }

    private suspend fun watchBundles() {
        var wasInService: Boolean? = null
        context.bundles.current.collect { bundle ->
            bundle?.let { admissionBounds(it) }?.let { executor.applyBounds(it) }
            val isInService = bundle?.isInService(target) == true
            if (isInService && wasInService == false) executor.onBackInService()
            wasInService = isInService
            executor.dispatch()
            links.requestHeartbeats()
        }
    }

    private fun admissionBounds(bundle: Bundle): AdmissionBounds? =
        bundle.targets[target]?.let { AdmissionBounds(it.slots, it.coldSlots.coerceIn(1, it.slots)) }

    private suspend fun watchDirectory() {
        context.directory.instances
            .map { list -> list.any { it.state == InstanceState.LEAVING && it.instance == context.run.instance } }
            .distinctUntilChanged()
            .collect { isLeaving ->
                if (isLeaving) Logger.info("agent: this instance is marked as leaving in the platform's list")
                status.isLeaving = isLeaving
                executor.dispatch()
            }
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK_MILLISECONDS)
            executor.tick()
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 50L
        const val DRAIN_POLL_MILLISECONDS = 20L
    }
}

/** Sends model calls with an [EngineClient] and service calls with a [ServiceClient]. */
private class DispatchingClient(
    connection: TargetConnection,
    meters: AgentMeters,
) : TargetClient {
    private val engine = EngineClient(connection, onResumed = meters::recordResumedStream)
    private val service = ServiceClient(connection)

    override suspend fun execute(request: ServeRequest, answer: AnswerBuffer): TargetOutcome =
        if (request.hasService()) service.execute(request, answer) else engine.execute(request, answer)
}
