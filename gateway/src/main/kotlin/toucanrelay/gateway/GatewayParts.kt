package toucanrelay.gateway

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.EpochClock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.dispatch.Admission
import toucanrelay.gateway.dispatch.FairShares
import toucanrelay.gateway.dispatch.OutputEstimates
import toucanrelay.gateway.dispatch.Placer
import toucanrelay.gateway.dispatch.RetryBudgets
import toucanrelay.gateway.dispatch.RunnerParts
import toucanrelay.gateway.dispatch.SilenceWatch
import toucanrelay.gateway.follow.FollowedOperators
import toucanrelay.gateway.follow.FollowedTargets
import toucanrelay.gateway.follow.TableCopy
import toucanrelay.gateway.follow.TableCopyClient
import toucanrelay.gateway.follow.TableFollower
import toucanrelay.gateway.http.CallerServer
import toucanrelay.gateway.http.RequestIntake
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.RecentPromptReads
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.target.TargetPool
import toucanrelay.platform.StoreClient
import kotlin.random.Random

/** The parts of a gateway process, wired together; all but [settings] are confined to the event loop. */
internal class GatewayParts(
    @Volatile var settings: GatewaySettings,
    val vertx: Vertx,
    val scope: CoroutineScope,
    val log: EventLog,
    val loopLag: LoopLag,
) {
    val clock = MonotonicClock
    val meters = GatewayMeters()

    /** Tells the ages of what the store said. */
    val ageClock = SuspensionAwareClock(MonotonicClock, EpochClock)
    val configurations = ConfigurationRegister(ageClock)
    val targets = TargetRegistry(clock, LAPSE_GRACE_MILLISECONDS)
    val pool = TargetPool(vertx, clock, targets)
    val fleet = FleetView(settings.instanceId, settings.region, clock) { settings.regionOf(it) }
    val reads = RecentPromptReads()
    val usage = OrganisationUsage(clock)
    val silence = SilenceWatch(clock) { loopLag.milliseconds }
    val store = StoreClient(vertx, addressOf(settings.storeAddress))

    private val shares = FairShares(clock, usage, fleet)
    private val placer = Placer(settings, clock, pool, fleet, shares, reads)
    private val estimates = OutputEstimates()
    private val intake = RequestIntake(clock, configurations, estimates, ::maximumAgeMilliseconds)

    val admission = Admission(vertx, clock, placer, shares)
    private val followedTables =
        listOf(
            FollowedOperators(configurations, pool, log),
            FollowedTargets(targets, log) { admission.wake() },
        )

    /** Copies of the store's tables, by their names between members. */
    val copies: Map<String, TableCopy> = followedTables.associate { it.name to TableCopy(ageClock) }

    /** Keep the copies up to date. */
    val followers: List<TableFollower> =
        TableCopyClient(vertx, ageClock).let { members ->
            followedTables.map { TableFollower(it, copies.getValue(it.name), store, members, fleet, ageClock, log) }
        }
    val server =
        CallerServer(
            vertx,
            scope,
            RunnerParts(
                clock = clock,
                admission = admission,
                placer = placer,
                targets = targets,
                intake = intake,
                usage = usage,
                estimates = estimates,
                budgets = RetryBudgets(clock, { settings.bounds }, fleet),
                silence = silence,
                meters = meters,
                log = log,
                random = Random.Default,
            ),
            configurations,
            loopLag,
        )

    /** Age of the configuration up to which keys may be trusted. */
    fun maximumAgeMilliseconds(): Long =
        (settings.bounds.revocationMilliseconds - REVOCATION_MARGIN_MILLISECONDS).toLong()

    internal companion object {
        /** Registrations that lapse while the store is away are back within two seconds of its return. */
        const val LAPSE_GRACE_MILLISECONDS = 2_200L
        const val REVOCATION_MARGIN_MILLISECONDS = 300.0

        fun addressOf(text: String): TargetAddress =
            checkNotNull(GatewaySettings.addressOf(text)) { "the settings were checked: $text" }
    }
}
