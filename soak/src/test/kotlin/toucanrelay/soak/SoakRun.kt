package toucanrelay.soak

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import toucanrelay.core.time.MonotonicClock
import toucanrelay.platform.standin.CallerStandIn
import toucanrelay.platform.standin.ReservedPorts
import toucanrelay.platform.standin.StoreBehaviour
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.LinkSettings

private const val VALID_KEY = "key-kept"
private const val REVOKED_KEY = "key-revoked"
private const val REVOCATION_MILLISECONDS = 3_000L
private const val REVOCATION_START_MILLISECONDS = 4_000L
private const val CALLERS = 6
private const val CALL_PAUSE_MILLISECONDS = 15L
private const val CALL_TIMEOUT_MILLISECONDS = 6_000L
private const val CRASHING_CALL_PERIOD_MILLISECONDS = 600L
private const val RECOVERY_TIMEOUT_MILLISECONDS = 15_000L

/**
 * Runs gateway processes between stand-ins under constant load while the faults for [seed] are injected.
 */
internal class SoakRun(
    private val seed: Long,
) {
    private val clock = MonotonicClock
    private val vertx = Vertx.vertx()
    private val store = StoreStandIn(vertx)
    private val configuration = SoakConfiguration(store, listOf(VALID_KEY, REVOKED_KEY))
    private val history = CallHistory()

    /** When each gateway was restarted or paused. */
    private val gatewayDisturbances = List(FaultPlan.GATEWAYS) { Disturbances(clock, CONTACT_MILLISECONDS) }
    private val targets = SoakTargets(vertx, store, clock, history, gatewayDisturbances)
    private val caller =
        CallerStandIn(
            vertx.createHttpClient(
                HttpClientOptions().setKeepAlive(true),
                PoolOptions().setHttp1MaxSize(CALLERS * 2),
            ),
        )
    private lateinit var ports: List<GatewayPorts>
    private lateinit var storeLinks: List<CuttableLink>
    private lateinit var gateways: List<GatewayProcess>
    private var calls = 0

    /** Runs the load and the faults, and returns a description of every violation. */
    suspend fun run(): List<String> {
        try {
            start()
            val revokedAt = runLoad()
            val violations =
                history.violations(REVOKED_KEY, revokedAt + REVOCATION_MILLISECONDS) +
                    targets.arrivals.violations(LIMIT_PER_SECOND) +
                    targets.statements.violations() +
                    awaitRecovery()
            return violations +
                listOfNotNull(
                    "no call succeeded".takeIf { history.successes == 0 },
                    "no target crashed".takeIf { targets.arrivals.crashes == 0 },
                    "no target said anything of itself".takeIf { targets.statements.statements == 0 },
                )
        } finally {
            gateways.forEach { it.kill() }
            storeLinks.forEach { it.stop() }
            targets.stop()
            vertx.close().coAwait()
        }
    }

    private suspend fun start() {
        store.start()
        configuration.put(ConfigurationChange.NONE)
        storeLinks =
            List(FaultPlan.GATEWAYS) {
                CuttableLink(LinkSettings(store.address.port, port = ReservedPorts.take()), vertx)
            }
        targets.start()
        val directory = GatewayProcess.directoryOf(seed.toString())
        val storePorts = storeLinks.map { it.start() }
        ports = GatewayPorts.free(FaultPlan.GATEWAYS)
        gateways =
            storePorts.mapIndexed { index, port ->
                val settings = ports[index].settings("gateway-$index", port, REVOCATION_MILLISECONDS)
                GatewayProcess(settings, directory)
            }
        gateways.forEach { it.start() }
        check(awaitRecovery().isEmpty()) { "a gateway did not start" }
    }

    /** Runs the callers while the faults are injected; returns the time of the key's revocation in milliseconds. */
    private suspend fun runLoad(): Long =
        coroutineScope {
            val startedAt = clock.nowMilliseconds()
            targets.loadStartedAtMilliseconds = startedAt
            val crashing = launch { sendCrashingRequests() }
            val callers = List(CALLERS) { caller -> launch { callUntilCancelled(caller) } }
            val faults = FaultPlan(seed).faults.map { fault -> launch(Dispatchers.IO) { inject(fault) } }
            val changes = launch { makeChanges() }
            delay(REVOCATION_START_MILLISECONDS)
            configuration.putKeys(VALID_KEY)
            val revokedAt = clock.nowMilliseconds()
            (faults + changes).forEach { it.join() }
            configuration.put(ConfigurationChange.NONE)
            delay(maxOf(0, startedAt + FaultPlan.LOAD_MILLISECONDS - clock.nowMilliseconds()))
            (callers + crashing).forEach { it.cancel() }
            revokedAt
        }

    /** Lets targets fall silent, leave and refuse requests, and changes the configuration, as planned. */
    private suspend fun makeChanges() =
        coroutineScope {
            val plan = ChangePlan(seed)
            plan.silences.forEach { silence ->
                launch {
                    delay(silence.startMilliseconds)
                    targets.fallSilent(silence)
                }
            }
            val statements = StatementPlan(seed)
            statements.leavings.forEach { planned ->
                launch {
                    delay(planned.startMilliseconds)
                    targets.leave(planned)
                }
            }
            statements.refusals.forEach { planned ->
                launch {
                    delay(planned.startMilliseconds)
                    targets.refuse(planned)
                }
            }
            ReloadPlan(seed).series.forEach { planned ->
                launch(Dispatchers.IO) {
                    delay(planned.startMilliseconds)
                    gateways[planned.gateway].changeSettings(planned.changes, planned.isSignalled)
                }
            }
            plan.changes.forEach { planned ->
                launch {
                    delay(planned.startMilliseconds)
                    configuration.put(planned.change)
                }
            }
        }

    private suspend fun inject(fault: Fault) {
        delay(fault.startMilliseconds)
        val gateway = gateways[fault.index]
        val storeLink = storeLinks[fault.index]
        when (fault.kind) {
            FaultKind.KILL_GATEWAY -> {
                disturb(fault) { restart(gateway) { gateway.kill() } }
                gateway.changeSettings(ReloadPlan.CHANGES_DURING_START, isSignalled = true)
            }

            FaultKind.STOP_GATEWAY -> {
                disturb(fault) { restart(gateway) { gateway.stop() } }
                gateway.changeSettings(ReloadPlan.CHANGES_DURING_START, isSignalled = true)
            }

            FaultKind.PAUSE_GATEWAY -> {
                disturb(fault) { applyFor(fault, { gateway.pause() }, { gateway.resume() }) }
            }

            FaultKind.CUT_STORE_LINK -> {
                applyFor(fault, { storeLink.cut() }, { storeLink.restore() })
            }

            FaultKind.SILENCE_STORE_LINK -> {
                applyFor(fault, { storeLink.silenceAll() }, { storeLink.restore() })
            }

            FaultKind.DELAY_STORE_LINK -> {
                applyFor(fault, { storeLink.delayMilliseconds = 400 }, {
                    storeLink.delayMilliseconds =
                        0
                })
            }

            FaultKind.REFUSE_STORE -> {
                applyFor(fault, { store.behaviour = StoreBehaviour.REFUSE }, ::serveStore)
            }

            FaultKind.LOSE_STORE_ANSWERS -> {
                applyFor(fault, { store.behaviour = StoreBehaviour.LOSE_ANSWERS }, ::serveStore)
            }

            FaultKind.BREAK_TARGET_CONNECTIONS -> {
                targets.breakConnections(fault.index)
            }

            FaultKind.SILENCE_TARGET_CONNECTIONS -> {
                targets.silenceConnections(fault.index)
            }
        }
    }

    private suspend fun disturb(fault: Fault, action: suspend () -> Unit) {
        gatewayDisturbances[fault.index].during(action)
    }

    private suspend fun serveStore() {
        store.behaviour = StoreBehaviour.SERVE
    }

    private suspend fun applyFor(fault: Fault, begin: suspend () -> Unit, end: suspend () -> Unit) {
        begin()
        delay(fault.durationMilliseconds)
        end()
    }

    /** Restarts [gateway], one restart at a time; resumes it first, since a paused process does not handle SIGTERM. */
    private fun restart(gateway: GatewayProcess, terminate: () -> Unit) =
        synchronized(gateway) {
            gateway.resume()
            terminate()
            gateway.start()
        }

    private suspend fun CoroutineScope.callUntilCancelled(caller: Int) {
        while (isActive) {
            val number = calls++
            val kind = CallKind.entries[number % CallKind.entries.size]
            val key = if (number % 2 == 0) VALID_KEY else REVOKED_KEY
            val gateway = number % FaultPlan.GATEWAYS
            call("seed-$seed-$caller-$number-$gateway", kind, key, gateway)
            delay(CALL_PAUSE_MILLISECONDS)
        }
    }

    /** Sends the same request, on which targets crash, to the gateways in turn. */
    private suspend fun CoroutineScope.sendCrashingRequests() {
        while (isActive) {
            val number = calls++
            val gateway = number % FaultPlan.GATEWAYS
            call("crash-$seed-$number-$gateway", CallKind.READ, VALID_KEY, gateway, CRASHING_BODY)
            delay(CRASHING_CALL_PERIOD_MILLISECONDS)
        }
    }

    private suspend fun call(
        id: String,
        kind: CallKind,
        key: String,
        gateway: Int,
        body: String = id,
    ): Int? {
        val sentAt = clock.nowMilliseconds()
        val outcome = send(id, kind, key, gateway, body)
        val endedAt = clock.nowMilliseconds()
        if (outcome is CallOutcome.Answered) targets.recordPassedOn(outcome.response, gateway, sentAt)
        val mustBeAnswered =
            body != CRASHING_BODY &&
                !gatewayDisturbances[gateway].overlap(sentAt, endedAt) &&
                !targets.breaks.overlap(sentAt, endedAt)
        val record = CallRecord(id, kind, key, sentAt, endedAt, outcome, mustBeAnswered)
        history.recordCall(record)
        return record.status
    }

    private suspend fun send(
        id: String,
        kind: CallKind,
        key: String,
        gateway: Int,
        body: String,
    ): CallOutcome {
        val response =
            caller.post(
                ports[gateway].callers,
                kind.path,
                key,
                id,
                body,
                deadlineMilliseconds = DEADLINE_MILLISECONDS,
            )
        val received = withTimeoutOrNull(CALL_TIMEOUT_MILLISECONDS) { runCatching { response.coAwait() } }
        if (received == null) return CallOutcome.Unanswered(null)
        return received.fold({ CallOutcome.Answered(it) }, { CallOutcome.Unanswered(it) })
    }

    /** Waits until all gateways serve requests; returns a message for each one that does not before the timeout. */
    private suspend fun awaitRecovery(): List<String> =
        withContext(Dispatchers.Default) {
            val deadline = clock.nowMilliseconds() + RECOVERY_TIMEOUT_MILLISECONDS
            gateways.indices.mapNotNull { gateway ->
                var isServing = false
                while (!isServing && clock.nowMilliseconds() < deadline) {
                    isServing =
                        call("recovery-$seed-${calls++}-$gateway", CallKind.READ, VALID_KEY, gateway) == STATUS_OK
                    if (!isServing) delay(RECOVERY_RETRY_MILLISECONDS)
                }
                if (isServing) null else "gateway $gateway does not serve requests after all faults have ended"
            }
        }

    private companion object {
        const val STATUS_OK = 200
        const val RECOVERY_RETRY_MILLISECONDS = 100L
    }
}
