package toucanrelay.daemon.fleet

import com.github.michaelbull.result.Result
import io.grpc.BindableService
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.distribution.PollSchedule
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.core.linking.LinkPlanSettings
import toucanrelay.core.linking.LinkPlanner
import toucanrelay.core.time.Clock
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.store.bundle.BundleError
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.BundleVerifier
import toucanrelay.store.bundle.SignedBundle
import toucanrelay.store.instances.InstanceList
import toucanrelay.store.table.TableService
import kotlin.random.Random

/**
 * The state that a process shares with the fleet: bundle, instance directory and, on an entry, the service ledger.
 *
 * @param settings settings of the daemon; its role determines what is exchanged.
 * @param run this run of the process.
 * @param scope scope of the background jobs; cancelled when the daemon stops.
 * @param verifier verifies that bundles were signed by a known operator.
 */
public class FleetNode(
    private val settings: DaemonSettings,
    run: ProcessRun,
    clock: Clock,
    private val scope: CoroutineScope,
    meters: MeterRegistry,
    tables: TableService,
    instances: InstanceList,
    verifier: BundleVerifier,
) {
    private val own =
        EntryLocation(run.instance, RegionId(settings.region), FailureDomainId(settings.failureDomain))
    private val isEntry = settings.entry != null
    private val heldBundles = HeldBundles(clock, verifier, meters)
    private val planner =
        LinkPlanner(settings.entry?.let { LinkPlanSettings(linksPerPool = it.linksPerPool) } ?: LinkPlanSettings())
    private val instanceDirectory = InstanceDirectory(run.instance, instances, planner, clock, meters)
    private val serviceLedger = FleetServiceLedger(clock, heldBundles::shareOf, meters)
    private val exchangeContext = ExchangeContext(clock, serviceLedger, heldBundles, instanceDirectory, meters)
    private val schedule = PollSchedule()
    private val poller =
        BundlePoller(BundleStore(tables), heldBundles, schedule, ::bundleReaderCount, ::isBundleReadNeeded, meters)
    private val jobs = mutableListOf<Job>()

    /** The bundle in force. */
    public val bundles: BundleRegister = heldBundles

    /** The version of the held bundle, in force or not; zero when none is held. */
    public val heldVersion: BundleVersion
        get() = BundleVersion(heldBundles.version.value)

    /** Distributes bundles over links. */
    public val bundleExchange: BundleExchange = heldBundles

    /** The instances of the fleet. */
    public val directory: FleetDirectory = instanceDirectory

    /** The service that each organisation received in the fleet. */
    public val ledger: ServiceLedger = serviceLedger

    /** The gRPC services to serve on the link port of the process. */
    public val services: PersistentList<BindableService> =
        if (isEntry) persistentListOf(EntryExchangeService(exchangeContext, own, run)) else persistentListOf()

    private val connector = ParentConnector(exchangeContext, own, run)

    /** Starts polling the platform and, on an entry, the exchange with neighbours. */
    public fun start() {
        jobs += scope.launch { runTicks() }
        jobs += scope.launch { poller.run() }
        jobs += scope.launch { refreshInstances() }
        jobs += scope.launch { heldBundles.current.collect { instanceDirectory.applyBundle(it) } }
        jobs += scope.launch { markReadyAfterTotals() }
        if (isEntry) jobs += scope.launch { connector.run() }
    }

    /** Stops polling and exchange. */
    public suspend fun close() {
        jobs.forEach { it.cancelAndJoin() }
        jobs.clear()
    }

    /** Accepts a bundle that an operator sends to this process directly, for example in a partitioned region. */
    public fun acceptFromOperator(signed: SignedBundle): Result<Bundle, BundleError> =
        heldBundles.acceptFromOperator(signed)

    /** Marks [instances] as leaving, as reported by a peer. */
    public fun addLeaving(instances: Collection<InstanceId>) {
        instanceDirectory.addLeaving(instances)
    }

    private suspend fun runTicks() {
        while (true) {
            heldBundles.detectPause()
            if (isEntry) serviceLedger.advance()
            delay(TICK_INTERVAL_MILLISECONDS)
        }
    }

    private suspend fun refreshInstances() {
        while (true) {
            instanceDirectory.refresh()
            delay(schedule.nextDelayMilliseconds(instanceDirectory.instances.value.size, Random.nextDouble()))
        }
    }

    // Without the fleet's totals, an entry would treat its organisations as far behind the others. It waits for them,
    // but becomes ready without them after a timeout.
    private suspend fun markReadyAfterTotals() {
        if (isEntry) withTimeoutOrNull(TOTALS_TIMEOUT_MILLISECONDS) { awaitTotals() }
        heldBundles.markReady()
    }

    private suspend fun awaitTotals() {
        instanceDirectory.listRead.first { it }
        if (instanceDirectory.entries().any { it.instance != own.instance }) serviceLedger.hasReceivedBatch.first { it }
    }

    private fun bundleReaderCount(): Int = if (isEntry) instanceDirectory.entries().size else heldBundles.targetCount()

    private fun isBundleReadNeeded(): Boolean =
        isEntry || (heldBundles.confirmedAgoMilliseconds() ?: Long.MAX_VALUE) > MAX_CONFIRMATION_AGE_MILLISECONDS

    private companion object {
        const val TICK_INTERVAL_MILLISECONDS = 250L
        const val TOTALS_TIMEOUT_MILLISECONDS = 3_000L

        /**
         * Age of its bundle's last confirmation above which an agent reads the table service itself.
         *
         * Until then it relies on the confirmations of linked peers.
         */
        const val MAX_CONFIRMATION_AGE_MILLISECONDS = 30_000L
    }
}
