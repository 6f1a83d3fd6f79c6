package toucanrelay.daemon.agent

import io.grpc.ManagedChannel
import io.grpc.Server
import io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.NettyServerBuilder
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.bundle.FailureDomainSettings
import toucanrelay.core.bundle.TargetSettings
import toucanrelay.core.grant.LeastVirtualTime
import toucanrelay.core.grant.OrderingPolicy
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.MonotonicClock
import toucanrelay.daemon.order.UnreliableTable
import toucanrelay.daemon.settings.AgentSettings
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.daemon.shell.DaemonContext
import toucanrelay.store.table.TableService
import toucanrelay.wire.AgentLinkGrpcKt.AgentLinkCoroutineStub
import toucanrelay.wire.ProcessIdentity
import kotlin.random.Random

val ADVICE = Pool.ofModel("advice")
val BALES = Pool.ofService("bales")
private val TARGET = TargetId("target-1")
private val FAILURE_DOMAIN = FailureDomainId("uusimaa-1")
private val REGION = RegionId("uusimaa")

/** Creates the bundle of a fleet with one target. */
fun bundleOf(
    version: Long = 1,
    slots: Int = 4,
    coldSlots: Int = 4,
    pools: Set<Pool> = setOf(ADVICE),
    inService: Boolean = true,
): Bundle =
    Bundle(
        version = BundleVersion(version),
        targets =
            persistentMapOf(
                TARGET to TargetSettings(REGION, FAILURE_DOMAIN, pools.toPersistentSet(), slots, coldSlots),
            ),
        failureDomains = persistentMapOf(FAILURE_DOMAIN to FailureDomainSettings(REGION, inService)),
    )

/** A real agent that serves the target at [targetPort], and a gRPC channel to the agent. */
class AgentFixture(
    private val targetPort: Int,
    val fleet: FakeFleet = FakeFleet(bundleOf()),
    private val policy: OrderingPolicy = LeastVirtualTime,
    private val resumeWindowMilliseconds: Long = 10_000,
    private val tables: TableService? = null,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val vertx = Vertx.vertx()
    val meters = SimpleMeterRegistry()
    val run = ProcessRun(InstanceId("agent-1"), Incarnation(7))
    val identity: ProcessIdentity =
        ProcessIdentity
            .newBuilder()
            .setInstanceId("agent-1")
            .setIncarnation(7)
            .build()
    lateinit var role: AgentRole
    private lateinit var server: Server
    private lateinit var channel: ManagedChannel
    lateinit var stub: AgentLinkCoroutineStub

    val port: Int
        get() = server.port

    suspend fun start(): AgentFixture {
        role = AgentRole(context(), policy)
        role.start()
        val builder = NettyServerBuilder.forPort(0)
        role.services.forEach { builder.addService(it) }
        server = builder.build().start()
        stub = connect(server.port)
        return this
    }

    fun connect(port: Int): AgentLinkCoroutineStub {
        channel = NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build()
        return AgentLinkCoroutineStub(channel)
    }

    suspend fun stop() {
        role.close()
        channel.shutdownNow()
        server.shutdownNow()
        scope.cancel()
        vertx.close().coAwait()
    }

    private fun context(): DaemonContext =
        DaemonContext(
            settings = settings(),
            run = run,
            clock = MonotonicClock,
            scope = scope,
            vertx = vertx,
            meters = meters,
            tables = tables ?: UnreliableTable(Random(1), scope, faultProbability = 0.0),
            bundles = fleet,
            bundleExchange = fleet,
            directory = fleet,
            ledger = fleet,
            orders = fleet,
        )

    private fun settings() =
        DaemonSettings(
            instanceId = run.instance.value,
            region = REGION.value,
            failureDomain = FAILURE_DOMAIN.value,
            link = ListenAddress("127.0.0.1", 0),
            operators = ListenAddress("127.0.0.1", 0),
            platformUrl = "http://127.0.0.1:1",
            operatorKeys = emptyList(),
            agent =
                AgentSettings(
                    targetId = TARGET.value,
                    targetUrl = "http://127.0.0.1:$targetPort",
                    resumeWindowMilliseconds = resumeWindowMilliseconds,
                ),
        )
}
