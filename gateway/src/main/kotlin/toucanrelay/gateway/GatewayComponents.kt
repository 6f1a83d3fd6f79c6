package toucanrelay.gateway

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import toucanrelay.core.allowance.StatedLimits
import toucanrelay.core.backoff.TargetBackoffs
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.overload.OverloadWithdrawal
import toucanrelay.core.overload.SpareCapacityTurns
import toucanrelay.core.quarantine.CrashQuarantine
import toucanrelay.core.quarantine.Suspect
import toucanrelay.core.quarantine.SuspectCondition
import toucanrelay.core.target.LeavingStatements
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.EpochClock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.body.AnswerMemory
import toucanrelay.gateway.body.TurnQueue
import toucanrelay.gateway.dispatch.Admission
import toucanrelay.gateway.dispatch.CrashDetector
import toucanrelay.gateway.dispatch.FairShares
import toucanrelay.gateway.dispatch.OutputEstimates
import toucanrelay.gateway.dispatch.Placer
import toucanrelay.gateway.dispatch.RequestRunners
import toucanrelay.gateway.dispatch.RetryBudgets
import toucanrelay.gateway.dispatch.RouteDurations
import toucanrelay.gateway.dispatch.RunnerDependencies
import toucanrelay.gateway.dispatch.ServiceDemand
import toucanrelay.gateway.dispatch.SilenceDetector
import toucanrelay.gateway.dispatch.TargetAllowances
import toucanrelay.gateway.dispatch.TargetSelection
import toucanrelay.gateway.dispatch.TargetStatements
import toucanrelay.gateway.follow.FollowedOperators
import toucanrelay.gateway.follow.FollowedTargets
import toucanrelay.gateway.follow.TableCopy
import toucanrelay.gateway.follow.TableCopyClient
import toucanrelay.gateway.follow.TableFollower
import toucanrelay.gateway.http.CallerServer
import toucanrelay.gateway.http.EndingLog
import toucanrelay.gateway.http.ExchangeHandler
import toucanrelay.gateway.http.RequestIntake
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.log.StatedLimitLog
import toucanrelay.gateway.log.TargetStatementLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.RecentPromptReads
import toucanrelay.gateway.settings.Bounds
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.stream.StreamMemory
import toucanrelay.gateway.stream.StreamSaver
import toucanrelay.gateway.stream.TakeUps
import toucanrelay.gateway.target.TargetPool
import toucanrelay.platform.StoreClient
import toucanrelay.platform.StreamTable
import kotlin.random.Random

/** Creates and connects the components of a gateway process; all are confined to the event loop. */
internal class GatewayComponents(
    var settings: GatewaySettings,
    val vertx: Vertx,
    val scope: CoroutineScope,
    val log: EventLog,
    val loopLag: LoopLag,
) {
    val clock = MonotonicClock
    val meters = GatewayMeters()

    /** Clock for the ages of data read from the store. */
    val ageClock = SuspensionAwareClock(MonotonicClock, EpochClock)
    val configurations = ConfigurationRegister(ageClock)
    val targets = TargetRegistry(clock, EXPIRY_GRACE_MILLISECONDS)
    private val loopTurn = LoopTurn(vertx)
    private val turns = TurnQueue(loopTurn::runAfter)
    val pool = TargetPool(vertx, clock, targets, turns)
    val fleet = FleetView(settings.instanceId, settings.region, clock, ::regionOf)
    val recentReads = RecentPromptReads()
    val organisationUsage = OrganisationUsage(clock)
    val quarantine = CrashQuarantine(clock, ::logCondition)
    val silenceDetector = SilenceDetector(clock) { loopLag.milliseconds }
    val store = StoreClient(vertx, addressOf(settings.storeAddress))

    /** Withdraws this process from load balancing while it is overloaded. */
    val withdrawal = OverloadWithdrawal(clock)
    val fairShares = FairShares(clock, organisationUsage, fleet, SpareCapacityTurns(settings.instanceId, clock))
    val serviceDemand = ServiceDemand(clock)
    val statedLimits = StatedLimits(clock, StatedLimitLog(log))
    private val statementLog = TargetStatementLog(log, meters)
    val leavingStatements = LeavingStatements(clock, targets, statementLog::onLeaving)
    val backoffs = TargetBackoffs(clock, Random.Default, statementLog)
    val shutdown = Shutdown(clock)
    private val routeDurations = RouteDurations(clock)
    private val allowances = TargetAllowances(settings.instanceId, clock, fleet, serviceDemand, statedLimits, backoffs)

    /** What this process knows of the versions that began streams. */
    val streamMemory =
        StreamMemory(clock, targets, ::streamRetentionMilliseconds, ::registrationsAgeMilliseconds)
    private val selection = TargetSelection(::regionOf, pool, allowances, quarantine, streamMemory)
    private val placer = Placer(settings, ::regionOf, clock, pool, allowances, fairShares, recentReads, selection)
    private val outputEstimates = OutputEstimates()
    private val intake = RequestIntake(clock, configurations, outputEstimates, ::maxAgeMilliseconds)

    val admission = Admission(vertx, clock, placer, fairShares)
    private val followedTables =
        listOf(
            FollowedOperators(configurations, pool, log) { admission.wake() },
            FollowedTargets(targets, log, streamMemory::recordMissedVersions) { admission.wake() },
        )

    /** Copies of the store's tables, by the table names that members use among themselves. */
    val tableCopies: Map<String, TableCopy> = followedTables.associate { it.name to TableCopy(ageClock) }

    /** Followers that keep [tableCopies] up to date. */
    val followers: List<TableFollower> =
        TableCopyClient(vertx, ageClock).let { members ->
            followedTables.map {
                TableFollower(
                    it,
                    tableCopies.getValue(it.name),
                    store,
                    members,
                    fleet,
                    ageClock,
                    log,
                    scope,
                )
            }
        }
    private val registrationFollower = followers[followedTables.indexOfFirst { it is FollowedTargets }]

    /** Saves [streamMemory] to the store. */
    val streamSaver =
        StreamSaver(streamMemory, StreamTable(store), fleet, settings.instanceId, clock, EpochClock, ::storeEra, log)
    val answerMemory = AnswerMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS)
    private val runnerDependencies =
        RunnerDependencies(
            clock = clock,
            admission = admission,
            placer = placer,
            targets = targets,
            intake = intake,
            organisationUsage = organisationUsage,
            serviceDemand = serviceDemand,
            statements = TargetStatements(statedLimits, leavingStatements, backoffs),
            takeUps = TakeUps(streamMemory, ::knowsRegistrations) { meters.takeUps(it).increment() },
            answerMemory = answerMemory,
            shutdown = shutdown,
            routeDurations = routeDurations,
            outputEstimates = outputEstimates,
            retryBudgets = RetryBudgets(clock, ::bounds, fleet),
            silenceDetector = silenceDetector,
            quarantine = quarantine,
            crashDetector = CrashDetector(scope, targets, quarantine, log),
            meters = meters,
            log = log,
            random = Random.Default,
        )

    private val endings = EndingLog(configurations, meters, log)

    /** Serves the requests that [server] receives. */
    val exchangeHandler =
        ExchangeHandler(
            RequestRunners(runnerDependencies),
            configurations,
            loopLag,
            loopTurn,
            turns,
            endings,
            meters,
            log,
            Random.Default,
        )
    val server =
        CallerServer(
            vertx,
            scope,
            clock,
            exchangeHandler,
            endings,
            withdrawal,
            settings.maxCallerConnections,
        ) { configurations.current?.limits?.idleTimeoutMilliseconds ?: DEFAULT_IDLE_TIMEOUT_MILLISECONDS }

    /** Returns whether enough other members of the failure domain are ready to take the callers of this process. */
    fun isSpared(): Boolean = fleet.canReplaceSelf(FailureDomainId(settings.failureDomain))

    /** Reads the registrations of targets, and returns whether none that may be in service is missing. */
    private suspend fun knowsRegistrations(): Boolean = registrationFollower.refresh() && !targets.mayMissRegistrations

    /** Returns the highest era of the store that this process knows of; null before it has read any table. */
    fun storeEra(): Long? = tableCopies.values.mapNotNull { it.version?.era }.maxOrNull()

    /** Forgets the targets that are neither registered nor in use. */
    fun cleanUp() {
        pool.cleanUp()
        statedLimits.retain(targets.currentTargets().keys)
        backoffs.retain(targets.currentTargets().keys)
        routeDurations.cleanUp()
        streamMemory.origins.cleanUp()
    }

    /** Measures the lag of the event loop and decides whether this process is overloaded. */
    fun recordTick() {
        loopLag.recordTick()
        val wasWithdrawn = withdrawal.isWithdrawn
        withdrawal.update(loopLag.isOverloaded, isSpared = loopLag.isOverloaded && isSpared())
        if (withdrawal.isWithdrawn && !wasWithdrawn) log.write("withdrawn", "loopLagMs" to loopLag.milliseconds)
    }

    // Functions, since in an initializer `settings` is the constructor's parameter, which a reload does not change.
    private fun regionOf(failureDomain: FailureDomainId): RegionId? = settings.regionOf(failureDomain)

    private fun bounds(): Bounds = settings.bounds

    private fun registrationsAgeMilliseconds(): Long? = tableCopies.getValue(FollowedTargets.NAME).ageMilliseconds

    private fun streamRetentionMilliseconds(): Long {
        val timeouts =
            configurations.current
                ?.routes
                .orEmpty()
                .map { it.timeoutMilliseconds }
        return maxOf(MIN_STREAM_RETENTION_MILLISECONDS, timeouts.maxOrNull() ?: 0)
    }

    private fun logCondition(suspect: Suspect, condition: SuspectCondition) {
        log.write("crash-suspect", "suspect" to suspect, "condition" to condition.name.lowercase())
    }

    /** Returns the maximum age of the configuration at which its keys are still accepted. */
    fun maxAgeMilliseconds(): Long = (settings.bounds.revocationMilliseconds - REVOCATION_MARGIN_MILLISECONDS).toLong()

    internal companion object {
        /** Registrations that expire during a store outage are renewed within two seconds after it. */
        const val EXPIRY_GRACE_MILLISECONDS = 2_200L

        /** Answers that are kept whole take one of so many parts of the heap together. */
        const val HEAP_PARTS = 4
        const val DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 60_000L
        const val MIN_STREAM_RETENTION_MILLISECONDS = 60_000L
        const val REVOCATION_MARGIN_MILLISECONDS = 300.0

        fun addressOf(text: String): TargetAddress =
            checkNotNull(GatewaySettings.addressOf(text)) { "invalid address in validated settings: $text" }
    }
}
