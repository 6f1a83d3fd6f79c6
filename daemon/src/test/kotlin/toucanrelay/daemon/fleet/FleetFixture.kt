package toucanrelay.daemon.fleet

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.Clock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.EntrySettings
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.LinkSettings
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.BundleVerifier
import toucanrelay.store.bundle.FailureDomainDocument
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.bundle.OrganisationDocument
import toucanrelay.store.bundle.SignedBundle
import toucanrelay.store.bundle.TargetDocument
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.instances.InstanceRole
import toucanrelay.store.instances.InstanceState
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Runs the entries of a fleet in one process, linked over loopback. */
class FleetFixture {
    private val keys = OperatorKeyPair.generate("operator")
    private val verifier = BundleVerifier(listOf(keys.publicKey))
    private val incarnations = AtomicLong()
    private val started = mutableListOf<RunningEntry>()
    private val links = ConcurrentHashMap<String, CuttableLink>()
    private val linkPorts = ConcurrentHashMap<String, Int>()

    val content = PlatformContent()

    /** Signs [document] with [version]. */
    fun sign(version: Long, document: BundleDocument = sampleDocument()): SignedBundle =
        BundleSigner(keys.privateKey).sign(document, BundleVersion(version))

    /** Signs [document] with [version] and writes it to the table service. */
    fun rollOut(version: Long, document: BundleDocument = sampleDocument()) {
        val row = Row(RowVersion(version.toString()), sign(version, document).toJson())
        content.rows[RowKey("bundles", "current")] = row
    }

    /** Adds an agent to the instance list; no process runs at its address. */
    fun listAgent(name: String, target: String, state: InstanceState = InstanceState.LIVE) {
        content.instances[name] =
            InstanceRecord(
                instance = InstanceId(name),
                role = InstanceRole.AGENT,
                state = state,
                region = RegionId("east"),
                failureDomain = FailureDomainId("east-1"),
                target = TargetId(target),
                host = "127.0.0.1",
                port = 1,
            )
    }

    /** Starts an entry; with [isPlatformDown] the platform is down for it. */
    suspend fun startEntry(
        name: String,
        region: String = "east",
        clock: Clock = MonotonicClock,
        isPlatformDown: Boolean = false,
    ): RunningEntry {
        val platform = SwitchablePlatform(content) { it.copy(port = linkPorts["$region>${it.region}"] ?: it.port) }
        platform.isDown = isPlatformDown
        val entry = RunningEntry(name, region, clock, platform, verifier, Incarnation(incarnations.incrementAndGet()))
        started += entry
        content.instances[name] = entry.start()
        return entry
    }

    /** Routes connections from region [from] to [to], the only entry of its region, through a cuttable link. */
    suspend fun linkRegions(from: String, to: RunningEntry): CuttableLink {
        val link = CuttableLink(LinkSettings(targetPort = to.port))
        links["$from>${to.region}"] = link
        linkPorts["$from>${to.region}"] = link.start()
        return link
    }

    /** Restarts the entry as a later run without state, on another port. */
    suspend fun restart(entry: RunningEntry, isTableDown: Boolean = false): RunningEntry {
        entry.stop()
        started -= entry
        return startEntry(entry.name, entry.region, isPlatformDown = true).also {
            it.platform.isTableDown = isTableDown
            it.platform.isDown = false
        }
    }

    suspend fun stop() {
        started.forEach { it.stop() }
        links.values.forEach { it.stop() }
    }
}

/** The fleet node of one entry, served on its link port. */
class RunningEntry(
    val name: String,
    val region: String,
    clock: Clock,
    val platform: SwitchablePlatform,
    verifier: BundleVerifier,
    incarnation: Incarnation,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val address = ListenAddress("127.0.0.1", 0)
    private val settings =
        DaemonSettings(
            instanceId = name,
            region = region,
            failureDomain = "$region-1",
            link = address,
            operators = address,
            platformUrl = "http://127.0.0.1:1",
            operatorKeys = emptyList(),
            entry = EntrySettings(callers = address),
        )
    val meters = SimpleMeterRegistry()
    val node =
        FleetNode(
            settings,
            ProcessRun(InstanceId(name), incarnation),
            clock,
            scope,
            meters,
            platform,
            platform,
            verifier,
        )
    private var server: Server? = null
    var port = 0
        private set

    fun start(): InstanceRecord {
        val builder = NettyServerBuilder.forPort(0)
        node.services.forEach { builder.addService(it) }
        port =
            builder
                .build()
                .start()
                .also { server = it }
                .port
        node.start()
        return InstanceRecord(
            instance = InstanceId(name),
            role = InstanceRole.ENTRY,
            state = InstanceState.LIVE,
            region = RegionId(region),
            failureDomain = FailureDomainId("$region-1"),
            target = null,
            host = "127.0.0.1",
            port = port,
        )
    }

    suspend fun stop() {
        node.close()
        server?.shutdownNow()?.awaitTermination(10, TimeUnit.SECONDS)
        scope.cancel()
    }
}

fun sampleDocument(depotShare: Double = 4.0): BundleDocument =
    BundleDocument(
        organisations =
            mapOf(
                "depot" to OrganisationDocument(share = depotShare, keyDigests = listOf("a".repeat(64))),
                "van" to OrganisationDocument(share = 1.0, keyDigests = listOf("b".repeat(64))),
            ),
        targets = mapOf("model-1" to TargetDocument("east", "east-1", listOf("briefing"), 8, 2)),
        failureDomains = mapOf("east-1" to FailureDomainDocument("east")),
    )
