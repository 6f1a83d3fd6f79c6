package toucanrelay.measure.fleet

import io.vertx.core.Vertx
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.settings.AgentSettings
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.EntrySettings
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.daemon.settings.OperatorKey
import toucanrelay.daemon.shell.Daemon
import toucanrelay.standins.ColdStart
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.EngineTiming
import toucanrelay.standins.LinkSettings
import toucanrelay.standins.ListedInstance
import toucanrelay.standins.ListedRole
import toucanrelay.standins.ModelEngine
import toucanrelay.standins.PlainService
import toucanrelay.standins.PlainServiceSettings
import toucanrelay.standins.PlatformStandIn
import toucanrelay.store.bundle.OperatorPublicKey

private const val LOOPBACK = "127.0.0.1"
private const val NOT_READY_NOTICE_MILLISECONDS = 500L
private const val SHUTDOWN_LIMIT_MILLISECONDS = 5_000L

/**
 * Starts daemons with their stand-in targets and adds the daemons to the platform's instance list.
 *
 * @param platform stand-in that lists the instances.
 * @param platformUrl URL of the platform.
 * @param operatorKey public key that the daemons verify bundles with.
 * @param policy order in which waiting requests are served.
 * @param standInVertx Vert.x instance that runs the stand-ins.
 * @param countsLinkBytes whether peers connect through a byte-counting forwarder.
 */
internal class NodeStarter(
    private val platform: PlatformStandIn,
    private val platformUrl: String,
    private val operatorKey: OperatorPublicKey,
    private val policy: FleetPolicy,
    private val standInVertx: Vertx,
    private val countsLinkBytes: Boolean,
) {
    suspend fun startEngine(plan: ModelTargetPlan): RunningEngine {
        val engine = ModelEngine(engineSettings(plan), standInVertx)
        val agent = startAgent(plan.name, plan.failureDomain, engine.start())
        return RunningEngine(plan, engine, agent)
    }

    suspend fun startService(plan: ServiceTargetPlan): RunningService {
        val service = PlainService(PlainServiceSettings(concurrency = plan.slots), standInVertx)
        val agent = startAgent(plan.name, plan.failureDomain, service.start())
        return RunningService(plan, service, agent)
    }

    suspend fun startEntry(plan: EntryPlan): RunningNode {
        val entry = EntrySettings(callers = loopbackAnyPort, notReadyNoticeMilliseconds = NOT_READY_NOTICE_MILLISECONDS)
        return startNode(settings(plan.name, plan.failureDomain).copy(entry = entry))
    }

    private suspend fun startAgent(target: String, failureDomain: FailureDomainPlan, targetPort: Int): RunningNode {
        val agent = AgentSettings(targetId = target, targetUrl = "http://$LOOPBACK:$targetPort")
        return startNode(settings("agent-$target", failureDomain).copy(agent = agent))
    }

    private suspend fun startNode(settings: DaemonSettings): RunningNode {
        var register: BundleRegister? = null
        val composition = measuredComposition(policy) { register = it }
        val daemon = Daemon(settings, composition)
        val ports = daemon.start()
        val link = if (countsLinkBytes) CuttableLink(LinkSettings(targetPort = ports.link), standInVertx) else null
        val listedInstance = listedInstance(settings, link?.start() ?: ports.link)
        platform.putInstance(listedInstance)
        val bundles = checkNotNull(register) { "the daemon built no bundle register" }
        return RunningNode(listedInstance, daemon, ports, bundles, link)
    }

    private fun settings(instance: String, failureDomain: FailureDomainPlan) =
        DaemonSettings(
            instanceId = instance,
            region = failureDomain.region,
            failureDomain = failureDomain.name,
            link = loopbackAnyPort,
            operators = loopbackAnyPort,
            platformUrl = platformUrl,
            operatorKeys = listOf(OperatorKey(operatorKey.id, operatorKey.toBase64())),
            shutdownLimitMilliseconds = SHUTDOWN_LIMIT_MILLISECONDS,
        )

    private fun listedInstance(settings: DaemonSettings, port: Int) =
        ListedInstance(
            instanceId = settings.instanceId,
            role = if (settings.entry != null) ListedRole.ENTRY else ListedRole.AGENT,
            region = settings.region,
            failureDomain = settings.failureDomain,
            targetId = settings.agent?.targetId,
            host = LOOPBACK,
            port = port,
        )

    private fun engineSettings(plan: ModelTargetPlan) =
        EngineSettings(
            models = listOf(plan.model),
            slots = plan.slots,
            timing = EngineTiming(plan.stepMilliseconds, plan.stepMillisecondsPerRequest),
            coldStart = ColdStart(startsCold = plan.startsCold, requests = plan.coldSlots),
        )

    private companion object {
        val loopbackAnyPort = ListenAddress(LOOPBACK, 0)
    }
}
