package toucanrelay.gateway

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.EpochClock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.follow.TableCopyServer
import toucanrelay.gateway.http.PlainPage
import toucanrelay.gateway.http.PlainPageServer
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.settings.SettingsLoader
import java.nio.file.Path

/** One gateway process: starts its parts, and stops them without cutting a request. */
internal class Gateway(
    settings: GatewaySettings,
    private val settingsFile: Path,
    private val vertx: Vertx = Vertx.vertx(singleEventLoop()),
    log: EventLog = EventLog(MonotonicClock),
    loopLag: LoopLag = LoopLag(MonotonicClock),
) {
    private val dispatcher = vertx.orCreateContext.dispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val parts = GatewayParts(settings, vertx, scope, log, loopLag)
    private val incarnation = EpochClock.nowMilliseconds()
    private val digests = DigestSender(parts, incarnation)
    private val membership = Membership(parts, incarnation)
    private var settingsModifiedAt = lastModified()

    /** Binds all ports and begins to follow the store. */
    suspend fun start(): Unit =
        withContext(dispatcher) {
            parts.log.write("start", "instance" to parts.settings.instance, "incarnation" to incarnation)
            parts.followers.forEach { scope.launch { it.run() } }
            scope.launch { membership.run() }
            parts.server.listen(GatewayParts.addressOf(parts.settings.callersAddress))
            PlainPageServer(vertx, ::readiness).listen(GatewayParts.addressOf(parts.settings.readinessAddress))
            digests.listen()
            PlainPageServer(vertx) { PlainPage(STATUS_OK, parts.meters.scrape()) }
                .listen(TargetAddress(parts.settings.address, parts.settings.metricsPort))
            TableCopyServer(vertx, parts.ageClock, parts.copies)
                .listen(TargetAddress(parts.settings.address, parts.settings.tablePort))
            parts.registerGauges()
            every(DIGEST_MILLISECONDS) { digests.send() }
            every(DIGEST_NEWS_MILLISECONDS) { digests.applyNews() }
            every(LoopLag.PERIOD_MILLISECONDS) { parts.loopLag.note() }
            every(FORGET_MILLISECONDS) { parts.fleet.expireSilent() }
            every(SILENCE_SWEEP_MILLISECONDS) { parts.silence.sweep() }
            every(POOL_SWEEP_MILLISECONDS) { parts.pool.sweep() }
            every(SETTINGS_CHECK_MILLISECONDS) { reloadIfChanged() }
        }

    /** Whether any caller has sent a request. */
    val hasBeenCalled: Boolean
        get() = parts.server.hasBeenCalled

    /** Ends all work at once. */
    suspend fun close() {
        scope.cancel()
        vertx.close().coAwait()
    }

    /** Reads the settings file again; settings that cannot be used are reported and the old ones stay. */
    fun reload() {
        SettingsLoader
            .load(settingsFile)
            .onSuccess { loaded ->
                parts.settings = loaded
                parts.log.write("reload", "instance" to loaded.instance)
            }.onFailure { parts.log.write("reload-failed", "detail" to it.detail) }
    }

    /** The settings file may change without a signal. */
    private fun reloadIfChanged() {
        val modifiedAt = lastModified()
        if (modifiedAt == settingsModifiedAt) return
        settingsModifiedAt = modifiedAt
        reload()
    }

    private fun lastModified(): Long = settingsFile.toFile().lastModified()

    /** Serves what is under way to its end, within the time that the settings leave, and closes all ports. */
    suspend fun stop(): Unit =
        withContext(dispatcher) {
            val startedAt = parts.clock.nowMilliseconds()
            val limit = (parts.settings.bounds.shutdownSeconds * MILLISECONDS_IN_A_SECOND).toLong()
            parts.log.write("stop", "active" to parts.server.active)
            parts.server.isDraining = true
            while (!mayClose(parts.clock.nowMilliseconds() - startedAt, limit)) delay(STOP_CHECK_MILLISECONDS)
            parts.log.write(
                "stopped",
                "cutRequests" to parts.server.active,
                "afterMs" to parts.clock.nowMilliseconds() - startedAt,
            )
            parts.server.close()
            delay(LOG_FLUSH_MILLISECONDS)
        }

    private fun mayClose(elapsed: Long, limit: Long): Boolean {
        parts.server.isRefusingNew = elapsed >= minOf(REFUSE_AFTER_MILLISECONDS, limit / 2)
        val isIdle = parts.server.active == 0 && elapsed >= BALANCER_NOTICE_MILLISECONDS
        return isIdle || elapsed >= limit - KILL_MARGIN_MILLISECONDS
    }

    private fun readiness(): PlainPage {
        return if (isReady()) PlainPage(STATUS_OK, "ready\n") else PlainPage(STATUS_UNAVAILABLE, "not ready\n")
    }

    private fun isReady(): Boolean =
        !parts.server.isDraining &&
            !parts.loopLag.isOverloaded &&
            parts.configurations.isFresh(parts.maximumAgeMilliseconds()) &&
            parts.targets.currentTargets().isNotEmpty()

    private fun every(milliseconds: Long, action: () -> Unit) {
        vertx.setPeriodic(milliseconds) { action() }
    }

    internal companion object {
        /** Options of a Vert.x instance with the one event loop to which all parts are confined. */
        fun singleEventLoop(): VertxOptions =
            VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)

        private const val STATUS_OK = 200
        private const val STATUS_UNAVAILABLE = 503
        private const val MILLISECONDS_IN_A_SECOND = 1_000.0
        private const val DIGEST_MILLISECONDS = 200L
        private const val SILENCE_SWEEP_MILLISECONDS = 250L
        private const val SETTINGS_CHECK_MILLISECONDS = 2_000L
        private const val POOL_SWEEP_MILLISECONDS = 1_000L
        private const val DIGEST_NEWS_MILLISECONDS = 40L
        private const val FORGET_MILLISECONDS = 5_000L
        private const val STOP_CHECK_MILLISECONDS = 50L
        private const val LOG_FLUSH_MILLISECONDS = 2 * EventLog.BATCH_MILLISECONDS

        /** The balancer asks once a second and takes a process out after two misses. */
        private const val BALANCER_NOTICE_MILLISECONDS = 2_600L
        private const val KILL_MARGIN_MILLISECONDS = 400L

        /** What comes later could not be served to its end before the process is killed. */
        private const val REFUSE_AFTER_MILLISECONDS = 2_700L
    }
}
