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
import toucanrelay.core.exchange.EntryPlace
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
 * What one process of the fleet shares with the others: bundle, list of instances and, on an entry, the service ledger.
 *
 * @param settings settings of the daemon; the role decides what is exchanged.
 * @param run this run of the process.
 * @param scope ends when the daemon stops.
 * @param verifier accepts bundles that the operators signed.
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
        EntryPlace(run.instance, RegionId(settings.region), FailureDomainId(settings.failureDomain))
    private val isEntry = settings.entry != null
    private val held = HeldBundles(clock, verifier, meters)
    private val planner =
        LinkPlanner(settings.entry?.let { LinkPlanSettings(linksPerPool = it.linksPerPool) } ?: LinkPlanSettings())
    private val known = InstanceDirectory(run.instance, instances, planner, clock, meters)
    private val service = FleetServiceLedger(clock, held::shareOf, meters)
    private val parts = ExchangeParts(clock, service, held, known, meters)
    private val schedule = PollSchedule()
    private val poller = BundlePoller(BundleStore(tables), held, schedule, ::bundleReaders, ::isReadNeeded, meters)
    private val jobs = mutableListOf<Job>()

    /** The bundle in force. */
    public val bundles: BundleRegister = held

    /** The version held, whether or not it is in force; zero for none. */
    public val heldVersion: BundleVersion
        get() = BundleVersion(held.version.value)

    /** Passes bundles over links. */
    public val bundleExchange: BundleExchange = held

    /** The known instances. */
    public val directory: FleetDirectory = known

    /** Service by organisation over the fleet. */
    public val ledger: ServiceLedger = service

    /** Services to offer on the process's link port. */
    public val services: PersistentList<BindableService> =
        if (isEntry) persistentListOf(EntryExchangeService(parts, own, run)) else persistentListOf()

    private val connector = ParentConnector(parts, own, run)

    /** Starts reading the platform and, on an entry, exchanging with neighbours. */
    public fun start() {
        jobs += scope.launch { keepTime() }
        jobs += scope.launch { poller.run() }
        jobs += scope.launch { refreshInstances() }
        jobs += scope.launch { held.current.collect { known.takeBundle(it) } }
        jobs += scope.launch { releaseWhenReady() }
        if (isEntry) jobs += scope.launch { connector.run() }
    }

    /** Stops all exchange. */
    public suspend fun close() {
        jobs.forEach { it.cancelAndJoin() }
        jobs.clear()
    }

    /** Takes a signed bundle from an operator who reaches this process directly, as in a region that is cut off. */
    public fun offer(signed: SignedBundle): Result<Bundle, BundleError> = held.takeFromOperator(signed)

    /** Takes in that [instances] leave, as a peer told. */
    public fun takeLeavingNotice(instances: Collection<InstanceId>) {
        known.takeNotice(instances)
    }

    private suspend fun keepTime() {
        while (true) {
            held.noteTime()
            if (isEntry) service.advance()
            delay(TIME_STEP_MILLISECONDS)
        }
    }

    private suspend fun refreshInstances() {
        while (true) {
            known.refresh()
            delay(schedule.nextDelayMilliseconds(known.instances.value.size, Random.nextDouble()))
        }
    }

    // An entry without the fleet's totals would take its organisations to be far behind the others.
    private suspend fun releaseWhenReady() {
        if (isEntry) withTimeoutOrNull(ADOPTION_LIMIT_MILLISECONDS) { awaitTotals() }
        held.release()
    }

    private suspend fun awaitTotals() {
        known.listRead.first { it }
        if (known.entries().any { it.instance != own.instance }) service.adopted.first { it }
    }

    private fun bundleReaders(): Int = if (isEntry) known.entries().size else held.targetCount()

    private fun isReadNeeded(): Boolean =
        isEntry || (held.confirmedAgoMilliseconds() ?: Long.MAX_VALUE) > AGENT_CONFIRMATION_MILLISECONDS

    private companion object {
        const val TIME_STEP_MILLISECONDS = 250L
        const val ADOPTION_LIMIT_MILLISECONDS = 3_000L

        /** An agent that no linked peer confirmed the bundle to for this long reads the table service itself. */
        const val AGENT_CONFIRMATION_MILLISECONDS = 30_000L
    }
}
