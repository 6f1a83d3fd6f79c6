package toucanrelay.daemon.entry

import io.grpc.BindableService
import io.vertx.core.Context
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import toucanrelay.core.charge.CostEstimates
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.retry.RetryBudget
import toucanrelay.core.retry.RetryPolicy
import toucanrelay.core.routing.ByteBudget
import toucanrelay.core.routing.Location
import toucanrelay.core.routing.RoutingPolicy
import toucanrelay.daemon.entry.dispatch.Dispatcher
import toucanrelay.daemon.entry.dispatch.EntryComponents
import toucanrelay.daemon.entry.http.ActiveRequests
import toucanrelay.daemon.entry.http.CallerServer
import toucanrelay.daemon.entry.link.AgentLinks
import toucanrelay.daemon.entry.link.ChannelFactory
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.daemon.shell.Role
import kotlin.random.Random

/**
 * The role of a process that serves callers: queues their requests, orders them fairly, and relays the answers.
 *
 * @param context services shared by the components of the daemon.
 * @param tuning timeouts and sizes that are not in the operators' settings.
 */
public class EntryRole(
    private val context: DaemonContext,
    private val tuning: EntryTuning = EntryTuning(),
) : Role {
    private val settings = requireNotNull(context.settings.entry) { "the settings have no section \"entry\"" }
    private val eventLoop: Context = context.vertx.getOrCreateContext()
    private val channels = ChannelFactory(eventLoop)
    private val meters = EntryMeters(context.meters)
    private val scope = entryScope()
    private val accounting = ServiceAccounting(context.ledger, context.bundles, tuning.ordering)
    private val dispatcher = dispatcher()
    private val links = AgentLinks(context, tuning, meters, channels)
    private val server = CallerServer(entryComponents(), settings, scope, ActiveRequests())

    @Volatile
    private var isDraining = false

    @Volatile
    private var isListening = false

    override val callersPort: Int
        get() = server.port

    override val services: PersistentList<BindableService> = persistentListOf()

    override suspend fun start() {
        withContext(channels.dispatcher) { server.listen() }
        scope.launch { links.follow(scope, dispatcher) }
        scope.launch { sweep() }
        meters.gauge("waiting") { dispatcher.totalWaiting }
        meters.gauge("in.flight") { dispatcher.totalInFlight }
        meters.gauge("body.bytes") { server.bufferedBodyBytes }
        isListening = true
        Logger.info { "entry: serving callers on port ${server.port}" }
    }

    override fun isReady(): Boolean =
        isListening && !isDraining && context.bundles.current.value != null && dispatcher.hasSeenTarget

    override suspend fun drain(limitMilliseconds: Long): Int {
        val endsAt = context.clock.nowMilliseconds() + limitMilliseconds
        val refusesWaitingAt = endsAt - limitMilliseconds / 2
        isDraining = true
        Logger.info { "entry: reporting not ready before the shutdown" }
        delay(minOf(tuning.notReadyNoticeMilliseconds, limitMilliseconds / 2))
        server.isRefusingNew = true
        while (server.active.count > 0 && context.clock.nowMilliseconds() < endsAt - CANCEL_MARGIN_MILLISECONDS) {
            // A request that starts late would be cancelled at the limit. Requests that still wait after half of it are
            // refused, so that their callers can retry them elsewhere.
            if (context.clock.nowMilliseconds() >= refusesWaitingAt) dispatcher.refuseAll()
            delay(DRAIN_POLL_MILLISECONDS)
        }
        val cancelled = server.active.cancelAll()
        if (cancelled > 0) Logger.warn { "entry: cancelled $cancelled requests at the shutdown limit" }
        withTimeoutOrNull(CANCEL_MARGIN_MILLISECONDS) { while (server.active.count > 0) delay(DRAIN_POLL_MILLISECONDS) }
        return cancelled
    }

    override suspend fun close() {
        isListening = false
        server.close()
        scope.cancel()
        scope.coroutineContext.job.join()
        channels.close()
    }

    private suspend fun sweep() {
        while (true) {
            delay(SWEEP_INTERVAL_MILLISECONDS)
            dispatcher.sweep()
        }
    }

    private fun entryScope(): CoroutineScope {
        val failures = CoroutineExceptionHandler { _, cause -> Logger.error(cause) { "entry: uncaught exception" } }
        val parent = context.scope.coroutineContext.job
        return CoroutineScope(SupervisorJob(parent) + channels.dispatcher + failures)
    }

    private fun dispatcher(): Dispatcher {
        val own = Location(RegionId(context.settings.region), FailureDomainId(context.settings.failureDomain))
        val rate = settings.linkBudgetBytesPerSecond
        val budget = ByteBudget(rate, rate * LINK_BURST_SECONDS, context.clock)
        return Dispatcher(
            context.clock,
            context.bundles,
            accounting,
            RoutingPolicy(own, budget),
            budget,
            tuning,
            meters,
        )
    }

    private fun entryComponents() =
        EntryComponents(
            context = context,
            tuning = tuning,
            dispatcher = dispatcher,
            accounting = accounting,
            estimates = CostEstimates(),
            retries = RetryPolicy(RetryBudget(), Random.Default),
            meters = meters,
            channels = channels,
        )

    private companion object {
        const val SWEEP_INTERVAL_MILLISECONDS = 100L
        const val DRAIN_POLL_MILLISECONDS = 10L
        const val CANCEL_MARGIN_MILLISECONDS = 500L
        const val LINK_BURST_SECONDS = 2
    }
}
