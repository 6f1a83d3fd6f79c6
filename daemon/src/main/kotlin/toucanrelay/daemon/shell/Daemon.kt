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
 * One process of the system: an entry or an agent, as its settings say.
 *
 * Many daemons can run in one Java virtual machine. A daemon runs once: it is started, then stopped.
 *
 * @param settings the checked settings.
 * @param composition the implementations to build it from.
 * @param clock the monotonic clock.
 * @param sharedVertx HTTP servers and clients to share with other daemons; null for its own.
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
    private val run = ProcessRun(InstanceId(settings.instanceId), Incarnations.next())
    private val name = "${settings.instanceId} run ${run.incarnation}"

    @Volatile
    private var parts: DaemonParts? = null

    @Volatile
    private var state = DaemonState.STARTING

    /** Starts all parts and binds all ports; when that fails, frees them again and rethrows. */
    public suspend fun start(): BoundPorts =
        lifecycle.withLock {
            check(state == DaemonState.STARTING && parts == null) { "the daemon was started before" }
            val built = build().also { parts = it }
            try {
                startParts(built)
            } catch (failure: Exception) {
                state = DaemonState.STOPPED
                closeParts(built)
                throw failure
            }
        }

    /** Whether callers and peers may send work, as `/readyz` says. */
    public val isReady: Boolean
        get() = state == DaemonState.RUNNING && parts?.role?.isReady() == true

    /** Takes no new work, lets the work in hand end within the limit of the settings, then frees all. */
    public suspend fun stop() {
        lifecycle.withLock {
            val running = parts
            if (running == null || state == DaemonState.STOPPED) return
            state = DaemonState.STOPPING
            Logger.info { "daemon: $name is not ready any more and drains" }
            val cut = running.role.drain(settings.shutdownLimitMilliseconds)
            reportDrained(cut)
            state = DaemonState.STOPPED
            closeParts(running)
        }
    }

    private suspend fun startParts(built: DaemonParts): BoundPorts {
        built.fleet.start()
        built.role.start()
        val linkPort = built.linkServer.start()
        val operatorsPort = built.operatorsServer.start(settings.operators)
        state = DaemonState.RUNNING
        val ports = BoundPorts(linkPort, operatorsPort, built.role.callersPort)
        Logger.info { "daemon: $name serves as ${roleName()}, $ports" }
        return ports
    }

    private fun reportDrained(cut: Int) {
        if (cut == 0) {
            Logger.info { "daemon: $name drained, no request was cut" }
        } else {
            Logger.warn { "daemon: $name cut $cut requests after ${settings.shutdownLimitMilliseconds} ms" }
        }
    }

    private suspend fun closeParts(closing: DaemonParts) {
        closing.linkServer.stop()
        closing.role.close()
        closing.fleet.close()
        closing.operatorsServer.stop()
        scope.cancel()
        closing.foundation.platform.close()
        if (sharedVertx == null) {
            closing.foundation.vertx
                .close()
                .coAwait()
        }
        meters.close()
    }

    private fun build(): DaemonParts {
        JvmMemoryMetrics().bindTo(meters)
        ProcessorMetrics().bindTo(meters)
        val foundation = foundation()
        val fleet = foundation.toFleetNode()
        val role = composition.role(foundation.toContext(fleet, composition.orders(foundation)))
        return DaemonParts(
            foundation = foundation,
            fleet = fleet,
            role = role,
            linkServer = LinkServer(settings.link, role.services + fleet.services),
            operatorsServer = OperatorsServer(foundation.vertx, meters, BundleOffer(fleet)) { status(fleet, role) },
        )
    }

    private fun foundation(): DaemonFoundation {
        val vertx = sharedVertx ?: ownVertx()
        return DaemonFoundation(
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

    private fun ownVertx(): Vertx =
        Vertx.vertx(
            VertxOptions()
                .setEventLoopPoolSize(if (settings.agent != null) AGENT_EVENT_LOOPS else ENTRY_EVENT_LOOPS)
                .setWorkerPoolSize(WORKERS)
                .setInternalBlockingPoolSize(WORKERS)
                .setFileSystemOptions(
                    FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false),
                ),
        )

    private companion object {
        const val AGENT_EVENT_LOOPS = 1
        const val ENTRY_EVENT_LOOPS = 4
        const val WORKERS = 2
    }
}

/** All parts of one daemon. */
internal class DaemonParts(
    val foundation: DaemonFoundation,
    val fleet: FleetNode,
    val role: Role,
    val linkServer: LinkServer,
    val operatorsServer: OperatorsServer,
)
