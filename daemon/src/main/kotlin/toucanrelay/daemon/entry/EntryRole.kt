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
import toucanrelay.daemon.entry.dispatch.RunnerParts
import toucanrelay.daemon.entry.http.ActiveRequests
import toucanrelay.daemon.entry.http.CallerServer
import toucanrelay.daemon.entry.link.AgentLinks
import toucanrelay.daemon.entry.link.ChannelFactory
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.daemon.shell.Role
import kotlin.random.Random

/**
 * The role of a process that faces callers: takes requests in, orders them fairly, and relays answers from the targets.
 *
 * @param context what the parts of the daemon share.
 * @param terms times and sizes that operators need not set.
 */
public class EntryRole(
    private val context: DaemonContext,
    private val terms: EntryTerms = EntryTerms(),
) : Role {
    private val settings = requireNotNull(context.settings.entry) { "the settings have no part \"entry\"" }
    private val eventLoop: Context = context.vertx.getOrCreateContext()
    private val channels = ChannelFactory(eventLoop)
    private val meters = EntryMeters(context.meters)
    private val scope = entryScope()
    private val account = ServiceAccount(context.ledger, context.bundles, terms.ordering)
    private val dispatcher = dispatcher()
    private val links = AgentLinks(context, terms, meters, channels)
    private val server = CallerServer(runnerParts(), settings, scope, ActiveRequests())

    @Volatile
    private var isAnnouncedLeaving = false

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
        meters.gauge("body.bytes") { server.bodyBytesInHand }
        isListening = true
        Logger.info { "entry: serving callers on port ${server.port}" }
    }

    override fun isReady(): Boolean =
        isListening && !isAnnouncedLeaving && context.bundles.current.value != null && dispatcher.hasSeenTarget

    override suspend fun drain(limitMilliseconds: Long): Int {
        val endsAt = context.clock.nowMilliseconds() + limitMilliseconds
        val handsBackAt = endsAt - limitMilliseconds / 2
        isAnnouncedLeaving = true
        Logger.info { "entry: announced not ready" }
        delay(minOf(terms.announceMilliseconds, limitMilliseconds / 2))
        server.isRefusingNew = true
        while (server.active.count > 0 && context.clock.nowMilliseconds() < endsAt - CUT_MILLISECONDS) {
            // What starts late would be cut at the limit; what still waits after half the time can run elsewhere.
            if (context.clock.nowMilliseconds() >= handsBackAt) dispatcher.handBack()
            delay(DRAIN_CHECK_MILLISECONDS)
        }
        val cut = server.active.cut()
        if (cut > 0) Logger.warn { "entry: cut $cut requests at the shutdown limit" }
        withTimeoutOrNull(CUT_MILLISECONDS) { while (server.active.count > 0) delay(DRAIN_CHECK_MILLISECONDS) }
        return cut
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
            delay(SWEEP_MILLISECONDS)
            dispatcher.sweep()
        }
    }

    private fun entryScope(): CoroutineScope {
        val failures = CoroutineExceptionHandler { _, cause -> Logger.error(cause) { "entry: a coroutine failed" } }
        val parent = context.scope.coroutineContext.job
        return CoroutineScope(SupervisorJob(parent) + channels.dispatcher + failures)
    }

    private fun dispatcher(): Dispatcher {
        val own = Location(RegionId(context.settings.region), FailureDomainId(context.settings.failureDomain))
        val rate = settings.linkBudgetBytesPerSecond
        val budget = ByteBudget(rate, rate * BURST_SECONDS, context.clock)
        return Dispatcher(context.clock, context.bundles, account, RoutingPolicy(own, budget), budget, terms, meters)
    }

    private fun runnerParts() =
        RunnerParts(
            context = context,
            terms = terms,
            dispatcher = dispatcher,
            account = account,
            estimates = CostEstimates(),
            retries = RetryPolicy(RetryBudget(), Random.Default),
            meters = meters,
            channels = channels,
        )

    private companion object {
        const val SWEEP_MILLISECONDS = 100L
        const val DRAIN_CHECK_MILLISECONDS = 10L
        const val CUT_MILLISECONDS = 500L
        const val BURST_SECONDS = 2
    }
}
