package toucanrelay.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.bundle.FailureDomainSettings
import toucanrelay.core.bundle.OrganisationLimits
import toucanrelay.core.bundle.OrganisationSettings
import toucanrelay.core.bundle.TargetSettings
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.queue.VirtualTimes
import toucanrelay.core.time.MonotonicClock
import toucanrelay.daemon.fleet.BundleExchange
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.fleet.FleetDirectory
import toucanrelay.daemon.fleet.ServiceLedger
import toucanrelay.daemon.order.TableOrderRegistry
import toucanrelay.daemon.settings.AgentSettings
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.EntrySettings
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.store.PlatformError
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceRole
import toucanrelay.store.instances.InstanceState
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.TableService
import toucanrelay.store.table.WriteCondition
import toucanrelay.wire.BundleUpdate
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat
import java.security.MessageDigest

val advice = Pool.ofModel("advice")
val bookings = Pool.ofService("bookings")
const val KEY_OF_MILL = "key-of-mill"
const val KEY_OF_DEPOT = "key-of-depot"

fun digestOf(key: String): String =
    MessageDigest.getInstance("SHA-256").digest(key.toByteArray()).joinToString("") { "%02x".format(it) }

/** Returns a bundle with two organisations and the [targets], each with its pool. */
fun bundleOf(targets: Map<String, Pool>, limits: OrganisationLimits = OrganisationLimits()): Bundle =
    Bundle(
        version = BundleVersion(1),
        organisations =
            persistentMapOf(
                OrganisationId("mill") to OrganisationSettings(2.0, limits, persistentSetOf(digestOf(KEY_OF_MILL))),
                OrganisationId("depot") to
                    OrganisationSettings(1.0, limits, persistentSetOf(digestOf(KEY_OF_DEPOT)), persistentSetOf(advice)),
            ),
        targets =
            persistentMapOf<TargetId, TargetSettings>().putAll(
                targets.entries.associate { (name, pool) ->
                    TargetId(name) to
                        TargetSettings(
                            RegionId("uusimaa"),
                            FailureDomainId("a"),
                            persistentSetOf(pool),
                            slots = 4,
                            coldSlots = 4,
                        )
                },
            ),
        failureDomains = persistentMapOf(FailureDomainId("a") to FailureDomainSettings(RegionId("uusimaa"))),
    )

/** Returns the instance record of the agent of the target [name]. */
fun agentRecord(name: String, port: Int): InstanceRecord =
    InstanceRecord(
        instance = InstanceId("agent-$name"),
        role = InstanceRole.AGENT,
        state = InstanceState.LIVE,
        region = RegionId("uusimaa"),
        failureDomain = FailureDomainId("a"),
        target = TargetId(name),
        host = "127.0.0.1",
        port = port,
    )

/** Dependencies shared by the daemons of one test. */
class TestFleet(
    bundle: Bundle?,
) : AutoCloseable {
    val bundles = MutableStateFlow(bundle)
    val agents = MutableStateFlow<PersistentList<InstanceRecord>>(persistentListOf())
    val vertx: Vertx = Vertx.vertx()
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val table = MemoryTable()

    fun link(vararg records: InstanceRecord) {
        agents.value = records.toList().toPersistentList()
    }

    fun entryContext(change: (EntrySettings) -> EntrySettings = { it }): DaemonContext =
        context(
            settings("entry-1").copy(entry = change(EntrySettings(callers = ListenAddress("127.0.0.1", 0)))),
        )

    fun agentContext(target: String, targetPort: Int, incarnation: Long = 1): DaemonContext =
        context(
            settings("agent-$target").copy(agent = AgentSettings(target, "http://127.0.0.1:$targetPort")),
            incarnation,
        )

    private fun settings(instance: String) =
        DaemonSettings(
            instanceId = instance,
            region = "uusimaa",
            failureDomain = "a",
            link = ListenAddress("127.0.0.1", 0),
            operators = ListenAddress("127.0.0.1", 0),
            platformUrl = "http://127.0.0.1:1",
            operatorKeys = emptyList(),
        )

    private fun context(settings: DaemonSettings, incarnation: Long = 1) =
        DaemonContext(
            settings = settings,
            run = ProcessRun(InstanceId(settings.instanceId), Incarnation(incarnation)),
            clock = MonotonicClock,
            scope = scope,
            vertx = vertx,
            meters = SimpleMeterRegistry(),
            tables = table,
            bundles =
                object : BundleRegister {
                    override val current = bundles
                },
            bundleExchange = NoBundleExchange,
            directory =
                object : FleetDirectory {
                    override val instances = agents
                    override val linkedAgents = agents
                },
            ledger = LocalLedger(),
            orders = TableOrderRegistry(table, scope),
        )

    override fun close() {
        scope.cancel()
        vertx.close()
    }
}

private object NoBundleExchange : BundleExchange {
    override fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat =
        Heartbeat
            .newBuilder()
            .setSequence(sequence)
            .setAcknowledged(acknowledged)
            .build()

    override fun receiveHeartbeat(heartbeat: Heartbeat): BundleWanted? = null

    override fun updateFor(request: BundleWanted): BundleUpdate? = null

    override fun receiveUpdate(update: BundleUpdate) = Unit
}

/** A ledger local to one process. */
class LocalLedger : ServiceLedger {
    private val times = VirtualTimes()

    @Synchronized
    override fun charge(organisation: OrganisationId, units: Double) = times.charge(organisation, units, share = 1.0)

    @Synchronized
    override fun virtualTime(organisation: OrganisationId): Double = times.timeOf(organisation)

    @Synchronized
    override fun activate(organisation: OrganisationId) = times.activate(organisation)

    @Synchronized
    override fun deactivate(organisation: OrganisationId) = times.deactivate(organisation)
}

/** An in-memory table service that can be made unavailable. */
class MemoryTable : TableService {
    private val rows = HashMap<RowKey, Row>()
    private var versions = 0L

    @Volatile
    var isDown = false

    @Synchronized
    override fun toString(): String = rows.toString()

    override suspend fun read(key: RowKey): Result<Row?, PlatformError> = ifUp { Ok(rows[key]) }

    override suspend fun write(
        key: RowKey,
        value: String,
        condition: WriteCondition,
    ): Result<RowVersion, PlatformError> =
        ifUp {
            val isMet =
                when (condition) {
                    WriteCondition.Absent -> rows[key] == null
                    is WriteCondition.Unchanged -> rows[key]?.version == condition.version
                }
            if (isMet) {
                val version = RowVersion("${++versions}")
                rows[key] = Row(version, value)
                Ok(version)
            } else {
                Err(PlatformError.Conflict("changed"))
            }
        }

    override suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError> =
        ifUp {
            if (rows[key]?.version == version) {
                rows.remove(key)
                Ok(Unit)
            } else {
                Err(PlatformError.Conflict("changed"))
            }
        }

    private fun <T> ifUp(call: () -> Result<T, PlatformError>): Result<T, PlatformError> =
        if (isDown) Err(PlatformError.NotExecuted("down")) else synchronized(rows) { call() }
}

/** Starts an entry, runs [test] and stops the entry. */
suspend fun TestFleet.withEntry(
    tuning: EntryTuning = EntryTuning(notReadyNoticeMilliseconds = 0),
    settings: (EntrySettings) -> EntrySettings = { it },
    test: suspend (RunningEntry) -> Unit,
) {
    val context = entryContext(settings)
    val role = EntryRole(context, tuning)
    role.start()
    try {
        test(RunningEntry(role, context))
    } finally {
        role.close()
    }
}

/** A running entry with a client for it. */
class RunningEntry(
    val role: EntryRole,
    val context: DaemonContext,
) {
    val caller = CallerClient(role.callersPort)

    fun gauge(name: String): Double =
        context.meters
            .get(name)
            .gauge()
            .value()

    fun count(name: String, tag: String, value: String): Double = context.meters.counter(name, tag, value).count()
}
