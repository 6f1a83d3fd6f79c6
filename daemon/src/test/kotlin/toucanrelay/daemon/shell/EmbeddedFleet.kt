package toucanrelay.daemon.shell

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.daemon.settings.AgentSettings
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.EntrySettings
import toucanrelay.daemon.settings.ListenAddress
import toucanrelay.daemon.settings.OperatorKey
import toucanrelay.standins.ListedInstance
import toucanrelay.standins.ListedRole
import toucanrelay.standins.PlatformStandIn
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.httpPlatform

/** Runs a platform stand-in and real daemons in one process. */
class EmbeddedFleet {
    val vertx: Vertx = Vertx.vertx()
    val platform = PlatformStandIn(vertx = vertx)
    private val operator = OperatorKeyPair.generate("operator-1")
    val signer = BundleSigner(operator.privateKey)
    private val loopback = ListenAddress("127.0.0.1", 0)
    private val daemons = mutableListOf<Daemon>()
    private var platformUrl = ""

    suspend fun start() {
        platformUrl = "http://127.0.0.1:${platform.start()}"
    }

    /** Rolls out [document] as [version]. */
    suspend fun rollOut(document: BundleDocument, version: Long) {
        val client = httpPlatform(vertx, platformUrl)
        val expected = BundleVersion(version - 1).takeIf { version > 1 }
        val outcome = BundleStore(client).rollOut(signer.sign(document, BundleVersion(version)), expected)
        client.close()
        check(outcome.isOk) { "roll-out failed: $outcome" }
    }

    /** Starts an entry and adds it to the platform's instance list. */
    suspend fun startEntry(name: String): BoundPorts =
        start(settings(name).copy(entry = EntrySettings(loopback, notReadyNoticeMilliseconds = 0)), ListedRole.ENTRY)

    /** Starts the agent of [target] and adds it to the platform's instance list. */
    suspend fun startAgent(target: String, targetPort: Int): BoundPorts =
        start(
            settings("$target-agent").copy(agent = AgentSettings(target, "http://127.0.0.1:$targetPort")),
            ListedRole.AGENT,
        )

    /** Waits until the daemon with these [ports] is ready. */
    suspend fun awaitReady(ports: BoundPorts) {
        val client = OperatorsClient(ports.operators)
        while (client.get("/readyz").statusCode() != HTTP_OK) delay(POLL_INTERVAL_MILLISECONDS)
    }

    suspend fun stop() {
        daemons.asReversed().forEach { it.stop() }
        platform.stop()
        vertx.close().coAwait()
    }

    private suspend fun start(settings: DaemonSettings, role: ListedRole): BoundPorts {
        val daemon = Daemon(settings)
        daemons += daemon
        val ports = daemon.start()
        platform.putInstance(
            ListedInstance(
                instanceId = settings.instanceId,
                role = role,
                region = settings.region,
                failureDomain = settings.failureDomain,
                targetId = settings.agent?.targetId,
                host = "127.0.0.1",
                port = ports.link,
            ),
        )
        return ports
    }

    private fun settings(instanceId: String) =
        DaemonSettings(
            instanceId = instanceId,
            region = "east",
            failureDomain = "east-1",
            link = loopback,
            operators = loopback,
            platformUrl = platformUrl,
            operatorKeys = listOf(OperatorKey("operator-1", operator.publicKey.toBase64())),
            shutdownLimitMilliseconds = 5_000,
        )

    private companion object {
        const val HTTP_OK = 200
        const val POLL_INTERVAL_MILLISECONDS = 50L
    }
}
