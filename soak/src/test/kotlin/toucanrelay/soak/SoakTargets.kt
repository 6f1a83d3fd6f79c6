package toucanrelay.soak

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import toucanrelay.core.time.Clock
import toucanrelay.platform.standin.ReceivedRequest
import toucanrelay.platform.standin.ReceivedResponse
import toucanrelay.platform.standin.StoreStandIn
import toucanrelay.platform.standin.TargetScript
import toucanrelay.platform.standin.TargetStandIn
import toucanrelay.standins.CuttableLink
import toucanrelay.standins.LinkSettings
import java.util.concurrent.atomic.AtomicLongArray
import java.util.concurrent.atomic.AtomicReferenceArray

/** Body of the requests on which targets crash. */
internal const val CRASHING_BODY = "crash"

/** Requests per second that targets state for a while. */
internal const val LIMIT_PER_SECOND = 5.0

private const val ANSWER_PAUSE_MILLISECONDS = 15L
private const val LIMIT_START_MILLISECONDS = 2_000L
private const val LIMIT_END_MILLISECONDS = 11_000L

/**
 * The targets of a run, which answer calls, crash, state limits, fall silent, refuse calls and say that they are leaving.
 *
 * @param disturbances when each gateway was disturbed.
 */
internal class SoakTargets(
    private val vertx: Vertx,
    private val store: StoreStandIn,
    private val clock: Clock,
    private val history: CallHistory,
    private val disturbances: List<Disturbances>,
) {
    private val scope = CoroutineScope(vertx.dispatcher())
    private val targets = List(FaultPlan.GATEWAYS) { create("target-$it", SoakConfiguration.SERVICE) }
    private val others = List(FaultPlan.GATEWAYS) { create("other-$it", SoakConfiguration.OTHER_SERVICE) }
    private val silentUntilMilliseconds = AtomicLongArray(FaultPlan.GATEWAYS)

    /** What the targets received. */
    val arrivals = TargetArrivals()

    /** When targets broke off answers or lost them. */
    val breaks = Disturbances(clock, BREAK_MILLISECONDS)

    /** What targets received after they had said that they were leaving or wanted no requests. */
    val statements =
        StatementArrivals { gateway, from, until ->
            !disturbances[gateway].overlap(from, until) && !breaks.overlap(from, until)
        }
    private val retryAfterByTarget = AtomicReferenceArray<String?>(FaultPlan.GATEWAYS)

    /** When the load started; far in the future before. */
    @Volatile
    var loadStartedAtMilliseconds = Long.MAX_VALUE / 2

    private fun create(id: String, service: String): CrashableTarget =
        CrashableTarget(TargetStandIn(vertx, id), service, vertx, store)

    /** Starts and registers all targets. */
    suspend fun start() {
        (targets + others).forEach { target ->
            target.standIn.script = TargetScript { request, received, _ -> answer(request, received, target) }
            target.start()
        }
    }

    /** Stops the links to the targets. */
    suspend fun stop() {
        (targets + others).forEach { it.link.stop() }
    }

    /** Closes the connections to the target with [index]. */
    suspend fun breakConnections(index: Int) {
        breaks.during { targets[index].link.breakConnections() }
    }

    /** Stops the traffic on the open connections to the target with [index] for good. */
    suspend fun silenceConnections(index: Int) {
        breaks.during {
            targets[index].link.silence()
            delay(POOLED_MILLISECONDS)
        }
    }

    /** Lets a target of each service send nothing for a while, wherever they are in their answers, and then go on. */
    fun fallSilent(silence: PlannedSilence) {
        silentUntilMilliseconds.set(silence.target, clock.nowMilliseconds() + silence.durationMilliseconds)
    }

    /** Lets a target say in its answers that it is leaving, and restarts it at the end. */
    suspend fun leave(planned: PlannedLeaving) {
        val target = targets[planned.target]
        val run = target.run
        target.isLeaving = true
        delay(planned.durationMilliseconds)
        if (target.run == run) breaks.during { target.crash() }
    }

    /** Lets a target refuse all requests for a while. */
    suspend fun refuse(planned: PlannedRefusal) {
        retryAfterByTarget.set(planned.target, planned.retryAfter)
        delay(planned.durationMilliseconds)
        retryAfterByTarget.set(planned.target, null)
    }

    /** Records that a caller got [response] from the gateway with index [gateway] to a call sent at [sentAtMilliseconds]. */
    fun recordPassedOn(response: ReceivedResponse, gateway: Int, sentAtMilliseconds: Long) {
        if ("server-leaving" !in response.headers) return
        val target = targets.find { "seal.${it.standIn.id}" == response.headers["x-response-seal"] } ?: return
        val now = clock.nowMilliseconds()
        // Otherwise the answer may be of an earlier run.
        if (!breaks.overlap(sentAtMilliseconds, now)) statements.recordLeavingTold(known(target, gateway), now)
    }

    private fun known(target: CrashableTarget, gateway: Int) = KnownRun(target.standIn.id, target.run, gateway)

    private fun isUndisturbed(id: String): Boolean {
        val now = clock.nowMilliseconds()
        return !disturbances[FaultPlan.gatewayOf(id)].overlap(now, now)
    }

    private fun answer(request: HttpServerRequest, received: ReceivedRequest, target: CrashableTarget) {
        val now = clock.nowMilliseconds()
        val known = known(target, FaultPlan.gatewayOf(received.id))
        statements.recordArrival(known, now)
        if (target.isLeaving) target.standIn.stateLeaving(request)
        retryAfterOf(target)?.let { return refuse(request, received, target, known, it) }
        history.recordRun(received.id)
        if (received.body == CRASHING_BODY) {
            arrivals.recordCrash(now, isUndisturbed(received.id))
            scope.launch { breaks.during { target.crash() } }
            return
        }
        stateLimit(request, received, target.standIn, now)
        if (!received.path.startsWith("/streams/")) {
            send(target) { target.standIn.respond(request, received, "whole ${received.id}") }
            return
        }
        val after = received.headers["last-event-id"]?.toInt() ?: 0
        target.standIn.beginStream(request, received)
        streamFrom(request, target, after + 1)
    }

    private fun retryAfterOf(target: CrashableTarget): String? =
        targets.indexOf(target).takeIf { it >= 0 }?.let { retryAfterByTarget.get(it) }

    private fun refuse(
        request: HttpServerRequest,
        received: ReceivedRequest,
        target: CrashableTarget,
        known: KnownRun,
        retryAfter: String,
    ) {
        retryAfter.toDoubleOrNull()?.let { statements.recordRefusal(known, clock.nowMilliseconds(), it) }
        target.standIn.requestBackoff(request, retryAfter)
        target.standIn.reject(request, received)
    }

    private fun stateLimit(
        request: HttpServerRequest,
        received: ReceivedRequest,
        standIn: TargetStandIn,
        now: Long,
    ) {
        val limitStart = loadStartedAtMilliseconds + LIMIT_START_MILLISECONDS
        if (now !in limitStart until loadStartedAtMilliseconds + LIMIT_END_MILLISECONDS) return
        standIn.stateLimit(request, LIMIT_PER_SECOND)
        if (isUndisturbed(received.id)) arrivals.recordLimited(standIn.id, now, limitStart)
    }

    /** Sends the event with [number] in two pieces, and those after it. */
    private fun streamFrom(request: HttpServerRequest, target: CrashableTarget, number: Int) {
        val response = request.response()
        if (number > CallHistory.EVENTS_PER_STREAM) return send(target) { if (!response.closed()) response.end() }
        val text = CallHistory.eventText(number)
        val first = text.take(text.length / 2)
        send(target) {
            if (!response.closed()) {
                response.write(first)
                send(target) {
                    if (!response.closed()) {
                        response.write(text.removePrefix(first))
                        streamFrom(request, target, number + 1)
                    }
                }
            }
        }
    }

    /** Does [action] after a pause, or when [target] goes on if it is silent then. */
    private fun send(target: CrashableTarget, action: () -> Unit) {
        vertx.setTimer(ANSWER_PAUSE_MILLISECONDS) {
            if (isSilent(target)) send(target, action) else action()
        }
    }

    private fun isSilent(target: CrashableTarget): Boolean {
        val index = maxOf(targets.indexOf(target), others.indexOf(target))
        return clock.nowMilliseconds() < silentUntilMilliseconds.get(index)
    }

    private companion object {
        /** Time after a break in which answers still get lost. */
        const val BREAK_MILLISECONDS = 500L

        /** Time for which gateways may keep a connection without traffic for another request. */
        const val POOLED_MILLISECONDS = 4_500L
    }
}
