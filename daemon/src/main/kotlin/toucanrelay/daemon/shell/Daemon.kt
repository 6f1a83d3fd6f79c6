package toucanrelay.daemon.shell

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.time.Clock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.daemon.fleet.FleetNode
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.publicKeys
import toucanrelay.store.bundle.BundleVerifier
import toucanrelay.store.httpPlatform

/**
 * An entry or an agent, depending on the settings.
 *
 * Several daemons can run in one JVM. A daemon cannot be restarted after it was stopped.
 *
 * @param settings the checked settings.
 * @param composition factories of the replaceable components.
 * @param clock the monotonic clock.
 * @param sharedVertx Vert.x instance shared with other daemons, not closed by this one; null to create its own.
 */
public class Daemon(
    private val settings: DaemonSettings,
    private val composition: Composition = Composition(),
    private val clock: Clock = MonotonicClock,
    private val sharedVertx: Vertx? = null,
) {
    private val lifecycle = Mutex()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val run = ProcessRun(InstanceId(settings.instanceId), IncarnationGenerator.next())
    private val label = "${settings.instanceId} run ${run.incarnation}"

    @Volatile
    private var components: DaemonComponents? = null

    @Volatile
    private var state = DaemonState.STARTING

    /** Starts all components and binds all ports; on failure, closes all components and rethrows the exception. */
    public suspend fun start(): BoundPorts =
        lifecycle.withLock {
            check(state == DaemonState.STARTING && components == null) { "the daemon was already started" }
            val built = createComponents().also { components = it }
            try {
                startComponents(built)
            } catch (error: Exception) {
                state = DaemonState.STOPPED
                closeComponents(built)
                throw error
            }
        }

    /** Whether the daemon is ready for requests, as reported at `/readyz`. */
    public val isReady: Boolean
        get() = state == DaemonState.RUNNING && components?.role?.isReady() == true

    /**
     * Stops accepting requests, drains running ones within [DaemonSettings.shutdownLimitMilliseconds], then closes all
     * components.
     */
    public suspend fun stop() {
        lifecycle.withLock {
            val running = components
            if (running == null || state == DaemonState.STOPPED) return
            state = DaemonState.STOPPING
            Logger.info { "daemon: $label is draining and no longer ready" }
            val cutRequests = running.role.drain(settings.shutdownLimitMilliseconds)
            logDrainResult(cutRequests)
            state = DaemonState.STOPPED
            closeComponents(running)
        }
    }

    private suspend fun startComponents(built: DaemonComponents): BoundPorts {
        built.fleet.start()
        built.role.start()
        val linkPort = built.linkServer.start()
        val operatorsPort = built.operatorsServer.start(settings.operators)
        state = DaemonState.RUNNING
        val ports = BoundPorts(linkPort, operatorsPort, built.role.callersPort)
        Logger.info { "daemon: $label started as ${roleName()}, $ports" }
        return ports
    }

    private fun logDrainResult(cutRequests: Int) {
        if (cutRequests == 0) {
            Logger.info { "daemon: $label drained; no request was cut off" }
        } else {
            Logger.warn {
                "daemon: $label cut off $cutRequests requests after ${settings.shutdownLimitMilliseconds} ms"
            }
        }
    }

    private suspend fun closeComponents(closing: DaemonComponents) {
        closing.linkServer.stop()
        closing.role.close()
        closing.fleet.close()
        closing.operatorsServer.stop()
        scope.cancel()
        closing.dependencies.platform.close()
        if (sharedVertx == null) {
            closing.dependencies.vertx
                .close()
                .coAwait()
        }
        meters.close()
    }

    private fun createComponents(): DaemonComponents {
        JvmMemoryMetrics().bindTo(meters)
        ProcessorMetrics().bindTo(meters)
        val dependencies = createDependencies()
        val fleet = dependencies.toFleetNode()
        val role = composition.role(dependencies.toContext(fleet, composition.orders(dependencies)))
        return DaemonComponents(
            dependencies = dependencies,
            fleet = fleet,
            role = role,
            linkServer = LinkServer(settings.link, role.services + fleet.services),
            operatorsServer =
                OperatorsServer(
                    dependencies.vertx,
                    meters,
                    BundleUploadHandler(fleet),
                ) { status(fleet, role) },
        )
    }

    private fun createDependencies(): DaemonDependencies {
        val vertx = sharedVertx ?: createVertx()
        return DaemonDependencies(
            settings = settings,
            run = run,
            clock = clock,
            scope = scope,
            vertx = vertx,
            meters = meters,
            platform = httpPlatform(vertx, settings.platformUrl),
            verifier = BundleVerifier(settings.publicKeys()),
        )
    }

    private fun status(fleet: FleetNode, role: Role): StatusDocument =
        StatusDocument(
            instanceId = settings.instanceId,
            incarnation = run.incarnation.value,
            role = roleName(),
            region = settings.region,
            failureDomain = settings.failureDomain,
            targetId = settings.agent?.targetId,
            ready = state == DaemonState.RUNNING && role.isReady(),
            stopping = state == DaemonState.STOPPING,
            bundleVersion =
                fleet.bundles
                    .inForce()
                    ?.version
                    ?.value,
            heldBundleVersion = fleet.heldVersion.value.takeIf { it > 0 },
            knownInstances = fleet.directory.instances.value.size,
        )

    private fun roleName(): String = if (settings.entry != null) "entry" else "agent"

    private fun createVertx(): Vertx =
        Vertx.vertx(
            VertxOptions()
                .setEventLoopPoolSize(if (settings.agent != null) AGENT_EVENT_LOOPS else ENTRY_EVENT_LOOPS)
                .setWorkerPoolSize(WORKER_THREADS)
                .setInternalBlockingPoolSize(WORKER_THREADS)
                .setFileSystemOptions(
                    FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false),
                ),
        )

    private companion object {
        const val AGENT_EVENT_LOOPS = 1
        const val ENTRY_EVENT_LOOPS = 4
        const val WORKER_THREADS = 2
    }
}

/** All components of one daemon. */
internal class DaemonComponents(
    val dependencies: DaemonDependencies,
    val fleet: FleetNode,
    val role: Role,
    val linkServer: LinkServer,
    val operatorsServer: OperatorsServer,
)
