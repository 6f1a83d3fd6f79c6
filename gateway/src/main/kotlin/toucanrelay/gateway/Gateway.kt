package toucanrelay.gateway

import com.github.michaelbull.result.Result
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
import kotlinx.coroutines.withContext
import toucanrelay.core.quarantine.Suspect
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.EpochClock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.dispatch.SilenceDetector
import toucanrelay.gateway.follow.TableCopyServer
import toucanrelay.gateway.http.PlainPage
import toucanrelay.gateway.http.PlainPageServer
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.gateway.settings.ReloadedSettings
import toucanrelay.gateway.settings.SettingsFile
import toucanrelay.gateway.settings.SettingsProblem
import toucanrelay.gateway.settings.reloadedWith

/** One gateway process: starts its components and shuts them down after the active requests have finished. */
internal class Gateway(
    settings: GatewaySettings,
    private val settingsFile: SettingsFile,
    private val vertx: Vertx = Vertx.vertx(singleEventLoop()),
    log: EventLog = EventLog(MonotonicClock),
    loopLag: LoopLag = LoopLag(MonotonicClock),
) {
    private val dispatcher = vertx.orCreateContext.dispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val components = GatewayComponents(settings, vertx, scope, log, loopLag)
    private val startUp = StartUp(components.clock, components::isSpared)
    private val incarnation = EpochClock.nowMilliseconds()
    private val digestSender = DigestSender(components, incarnation, ::isReady)
    private val membership = Membership(components, incarnation)
    private val supervisor =
        TaskSupervisor(scope, components.clock, log, onFailure = components.meters::recordTaskFailure)

    /** Binds all ports and starts to follow the tables of the store. */
    suspend fun start(): Unit =
        withContext(dispatcher) {
            components.log.write("start", "instance" to components.settings.instance, "incarnation" to incarnation)
            components.followers.forEach { follower -> supervisor.launch(follower.taskName) { follower.run() } }
            supervisor.launch("membership") { membership.run() }
            supervisor.launch("save-streams") { components.streamSaver.run() }
            components.server.listen(GatewayComponents.addressOf(components.settings.callersAddress))
            PlainPageServer(vertx, ::readiness)
                .listen(GatewayComponents.addressOf(components.settings.readinessAddress))
            digestSender.listen()
            PlainPageServer(vertx) { PlainPage(STATUS_OK, components.meters.scrape()) }
                .listen(TargetAddress(components.settings.address, components.settings.metricsPort))
            TableCopyServer(vertx, components.ageClock, components.tableCopies)
                .listen(TargetAddress(components.settings.address, components.settings.tablePort))
            components.registerGauges()
            schedulePeriodic("send-digests", DIGEST_SEND_PERIOD_MILLISECONDS) { digestSender.send() }
            schedulePeriodic("apply-digests", DIGEST_APPLY_PERIOD_MILLISECONDS) { digestSender.applyReceived() }
            schedulePeriodic("tick", LoopLag.PERIOD_MILLISECONDS) { recordTick() }
            schedulePeriodic("expire-members", MEMBER_EXPIRY_PERIOD_MILLISECONDS) { components.fleet.expireSilent() }
            schedulePeriodic("check-silence", SilenceDetector.CHECK_PERIOD_MILLISECONDS) {
                components.silenceDetector.reportSilent()
            }
            schedulePeriodic("log-fair-shares", FAIR_SHARES_LOG_PERIOD_MILLISECONDS) { components.logFairShares() }
            schedulePeriodic("clean-up", POOL_CLEANUP_PERIOD_MILLISECONDS) { components.cleanUp() }
            schedulePeriodic("check-settings", SETTINGS_CHECK_PERIOD_MILLISECONDS) {
                settingsFile.readIfChanged()?.let { apply(it) }
            }
            schedulePeriodic("close-idle", IDLE_CHECK_PERIOD_MILLISECONDS) { components.server.closeTimedOut() }
        }

    /** Whether any caller has sent a request since the start. */
    val hasBeenCalled: Boolean
        get() = components.server.hasBeenCalled

    /** Whether the process serves any request at present. */
    val isServing: Boolean
        get() = components.server.active > 0

    /** Whether the process takes its part of the load, as [StartUp] decides. */
    val hasStartedUp: Boolean
        get() = startUp.isComplete

    /** Whether [stop] has been called. */
    val isStopping: Boolean
        get() = components.shutdown.hasBegun

    /** Records that the warm-up of this process is complete. */
    fun recordWarm() {
        startUp.recordWarm()
    }

    /** Stops all work immediately and closes Vert.x. */
    suspend fun close() {
        scope.cancel()
        vertx.close().coAwait()
    }

    /** Reloads the settings file; invalid settings are logged and the previous ones remain in force. */
    fun reload() {
        val guarded = supervisor.guarded("reload") { apply(settingsFile.read()) }
        vertx.runOnContext { guarded() }
    }

    private fun apply(read: Result<GatewaySettings, SettingsProblem>) {
        read
            .onSuccess { loaded ->
                val reloaded = components.settings.reloadedWith(loaded)
                components.settings = reloaded.inForce
                loaded.releasedSuspects.mapNotNull { Suspect.parse(it) }.forEach { components.quarantine.release(it) }
                logReload(reloaded)
            }.onFailure { components.log.write("reload-failed", "detail" to it.detail) }
    }

    private fun logReload(reloaded: ReloadedSettings) {
        components.log.write(
            "reload",
            "instance" to reloaded.inForce.instance,
            "needsRestart" to reloaded.needsRestart.joinToString(" ").ifEmpty { null },
        )
    }

    /** Finishes the active requests within the shutdown time of the settings, then closes the callers' port. */
    suspend fun stop(): Unit =
        withContext(dispatcher) {
            val startedAt = components.clock.nowMilliseconds()
            val limit = (components.settings.bounds.shutdownSeconds * MILLISECONDS_PER_SECOND).toLong()
            components.log.write("stop", "active" to components.server.active)
            components.shutdown.begin(limit - KILL_MARGIN_MILLISECONDS)
            components.server.isDraining = true
            while (!canClose(components.clock.nowMilliseconds() - startedAt, limit)) delay(STOP_CHECK_MILLISECONDS)
            components.log.write(
                "stopped",
                "cutRequests" to components.server.active,
                "afterMs" to components.clock.nowMilliseconds() - startedAt,
            )
            components.server.close(MAX_CLOSE_MILLISECONDS)
            delay(LOG_FLUSH_DELAY_MILLISECONDS)
        }

    /** Refuses new requests once too little time is left, and returns whether the callers' port can be closed. */
    private fun canClose(elapsed: Long, limit: Long): Boolean {
        components.exchangeHandler.isRefusingNew = elapsed >= minOf(REFUSE_NEW_AFTER_MILLISECONDS, limit / 2)
        // The load balancer sends no callers before the process has been ready.
        val isBalanced = startUp.isComplete || components.server.hasBeenCalled
        val removal = if (isBalanced) BALANCER_REMOVAL_MILLISECONDS else ACCEPTED_READ_MILLISECONDS
        val isIdle = components.server.active == 0 && elapsed >= removal
        return isIdle || elapsed >= limit - KILL_MARGIN_MILLISECONDS
    }

    private fun recordTick() {
        components.recordTick()
        startUp.update()
    }

    private fun readiness(): PlainPage {
        return if (isReady()) PlainPage(STATUS_OK, "ready\n") else PlainPage(STATUS_UNAVAILABLE, "not ready\n")
    }

    private fun isReady(): Boolean =
        startUp.isComplete &&
            !components.server.isDraining &&
            !components.loopLag.isOverloaded &&
            !components.withdrawal.isWithdrawn &&
            components.configurations.isFresh(components.maxAgeMilliseconds()) &&
            components.targets.currentTargets().isNotEmpty()

    private fun schedulePeriodic(name: String, milliseconds: Long, action: () -> Unit) {
        val guarded = supervisor.guarded(name, action)
        vertx.setPeriodic(milliseconds) { guarded() }
    }

    internal companion object {
        /** Options of a Vert.x instance with a single event loop, to which all components are confined. */
        fun singleEventLoop(): VertxOptions =
            VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)

        private const val STATUS_OK = 200
        private const val STATUS_UNAVAILABLE = 503
        private const val MILLISECONDS_PER_SECOND = 1_000.0
        private const val DIGEST_SEND_PERIOD_MILLISECONDS = 200L
        private const val SETTINGS_CHECK_PERIOD_MILLISECONDS = 2_000L
        private const val POOL_CLEANUP_PERIOD_MILLISECONDS = 1_000L
        private const val IDLE_CHECK_PERIOD_MILLISECONDS = 1_000L
        private const val FAIR_SHARES_LOG_PERIOD_MILLISECONDS = 1_000L
        private const val DIGEST_APPLY_PERIOD_MILLISECONDS = 40L
        private const val MEMBER_EXPIRY_PERIOD_MILLISECONDS = 5_000L
        private const val STOP_CHECK_MILLISECONDS = 50L
        private const val LOG_FLUSH_DELAY_MILLISECONDS = 2 * EventLog.BATCH_MILLISECONDS

        /** The load balancer probes readiness once per second and removes a process after two failed probes. */
        private const val BALANCER_REMOVAL_MILLISECONDS = 2_600L

        /** Time in which the event loop reads what callers sent that were accepted before the process was ready. */
        private const val ACCEPTED_READ_MILLISECONDS = 300L
        private const val KILL_MARGIN_MILLISECONDS = 400L

        /** Leaves time for the log within the margin. */
        private const val MAX_CLOSE_MILLISECONDS = 200L

        /** Requests that arrive later could not be finished before the process is killed. */
        private const val REFUSE_NEW_AFTER_MILLISECONDS = 2_700L
    }
}
