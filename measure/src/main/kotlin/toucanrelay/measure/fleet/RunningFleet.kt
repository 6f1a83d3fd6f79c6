package toucanrelay.measure.fleet

import io.vertx.core.VerticleBase
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import toucanrelay.measure.load.Endpoint
import toucanrelay.standins.ListedState
import toucanrelay.standins.PlatformStandIn
import toucanrelay.store.Platform
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.httpPlatform

private const val START_LIMIT_MILLISECONDS = 60_000L
private const val LINK_SETTLING_MILLISECONDS = 500L
private const val POLL_MILLISECONDS = 20L
private const val STAND_IN_EVENT_LOOPS = 6
private const val LOOPBACK = "127.0.0.1"

/**
 * Runs the daemons and stand-ins of a fleet in this process.
 *
 * @property plan layout of the fleet.
 * @property platform stand-in for the platform.
 * @property operator signs and rolls out bundles.
 * @property loadVertx Vert.x instance that runs the stand-ins and the callers.
 * @property engines the model engines with their agents.
 * @property services the plain services with their agents.
 * @property entries the entries.
 */
internal class RunningFleet private constructor(
    val plan: FleetPlan,
    val platform: PlatformStandIn,
    val operator: FleetOperator,
    val loadVertx: Vertx,
    private val operatorPlatform: Platform,
    private val starter: NodeStarter,
) {
    val engines = mutableListOf<RunningEngine>()
    val services = mutableListOf<RunningService>()
    val entries = mutableListOf<RunningNode>()

    /** The entries' endpoints for callers. */
    val endpoints: List<Endpoint>
        get() = entries.mapNotNull { entry -> entry.ports.callers?.let { Endpoint(LOOPBACK, it) } }

    /** The operators' endpoints of the engines' agents. */
    val agentOperatorsEndpoints: List<Endpoint>
        get() = engines.map { Endpoint(LOOPBACK, it.agent.ports.operators) }

    /** The operators' endpoints of the entries. */
    val entryOperatorsEndpoints: List<Endpoint>
        get() = entries.map { Endpoint(LOOPBACK, it.ports.operators) }

    /** All daemons. */
    val nodes: List<RunningNode>
        get() = entries + engines.map { it.agent } + services.map { it.agent }

    /** Processor time of all daemons. */
    lateinit var processor: ProcessorMeter
        private set

    /** Processor time of the entries' own threads, without the threads that they share with the agents. */
    lateinit var entryProcessor: ProcessorMeter
        private set

    /** Marks [node] as leaving in the platform's instance list. */
    fun markLeaving(node: RunningNode) {
        platform.putInstance(node.listedInstance.copy(state = ListedState.LEAVING))
    }

    private suspend fun start() {
        operator.rollOut()
        startEventLoops(loadVertx)
        processor = ProcessorMeter()
        plan.models.forEach { engines += starter.startEngine(it) }
        plan.services.forEach { services += starter.startService(it) }
        entryProcessor = ProcessorMeter()
        plan.entries.forEach { entries += starter.startEntry(it) }
        awaitBundle(1)
        awaitLinks()
    }

    /** Suspends until every entry is ready, every agent has a link and the number of links is stable. */
    private suspend fun awaitLinks() {
        val agents = engines.map { it.agent } + services.map { it.agent }
        var previous = -1
        withTimeout(START_LIMIT_MILLISECONDS) {
            while (true) {
                val links = agents.sumOf { it.link?.openConnections ?: 0 }
                if (entries.all { it.daemon.isReady } && agents.all { it.isLinked } && links == previous) break
                previous = links
                delay(LINK_SETTLING_MILLISECONDS)
            }
        }
    }

    /** Suspends until bundle [version] or a later one is in force on every node. */
    suspend fun awaitBundle(version: Long) {
        withTimeout(START_LIMIT_MILLISECONDS) {
            while (nodes.any {
                    (
                        it.bundles.current.value
                            ?.version
                            ?.value ?: 0
                    ) < version
                }
            ) {
                delay(POLL_MILLISECONDS)
            }
        }
    }

    /** Stops every daemon and stand-in; entries first, so that no running request is cut off. */
    suspend fun stop() {
        stopAll(entries)
        stopAll(engines.map { it.agent } + services.map { it.agent })
        engines.forEach { it.engine.stop() }
        services.forEach { it.service.stop() }
        operatorPlatform.close()
        platform.stop()
        loadVertx.close().coAwait()
    }

    private suspend fun stopAll(nodes: List<RunningNode>) =
        coroutineScope {
            nodes.map { async { it.daemon.stop() } }.awaitAll()
            nodes.forEach { it.link?.stop() }
        }

    companion object {
        /** Starts the fleet of [plan]; suspends until every node runs the first bundle and all links are open. */
        suspend fun start(plan: FleetPlan, policy: FleetPolicy = FleetPolicy.LEAST_VIRTUAL_TIME_FLEET): RunningFleet {
            val loadVertx = newVertx(STAND_IN_EVENT_LOOPS)
            val platform = PlatformStandIn(vertx = loadVertx)
            val platformUrl = "http://$LOOPBACK:${platform.start()}"
            val operatorPlatform = httpPlatform(loadVertx, platformUrl)
            val keys = OperatorKeyPair.generate("operators")
            val operator = FleetOperator(keys, BundleStore(operatorPlatform), plan.toBundleDocument())
            val starter = NodeStarter(platform, platformUrl, keys.publicKey, policy, loadVertx, plan.countsLinkBytes)
            val fleet = RunningFleet(plan, platform, operator, loadVertx, operatorPlatform, starter)
            fleet.start()
            return fleet
        }

        /** Starts all event loop threads before any [ProcessorMeter], so that none counts them as a daemon's. */
        private suspend fun startEventLoops(vertx: Vertx) {
            val deployments = List(STAND_IN_EVENT_LOOPS) { vertx.deployVerticle(object : VerticleBase() {}).coAwait() }
            deployments.forEach { vertx.undeploy(it).coAwait() }
        }

        private fun newVertx(eventLoops: Int): Vertx {
            val files = FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)
            val options =
                VertxOptions()
                    .setEventLoopPoolSize(eventLoops)
                    .setWorkerPoolSize(1)
                    .setInternalBlockingPoolSize(1)
                    .setFileSystemOptions(files)
            return Vertx.vertx(options)
        }
    }
}
