package toucanrelay.daemon.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.Executed
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.entry.dispatch.CallerRequest
import toucanrelay.daemon.entry.dispatch.RequestRunner
import toucanrelay.daemon.entry.dispatch.RunOutcome
import toucanrelay.daemon.entry.dispatch.RunnerParts
import toucanrelay.daemon.order.OrderClaim
import toucanrelay.daemon.order.OrderKey
import toucanrelay.daemon.order.OrderStart

/** Handles one caller's request, from its first byte to the end of its answer. */
internal class CallHandler(
    private val parts: RunnerParts,
    private val scope: CoroutineScope,
    private val intake: RequestIntake,
    private val bodies: BodyReader,
    private val active: ActiveRequests,
    private val request: HttpServerRequest,
    private val id: RequestId,
) {
    private val arrivedAt = parts.context.clock.nowMilliseconds()
    private var beforeFinish: suspend (toucanrelay.daemon.order.RecordedAnswer?) -> Unit = {}
    private var onClose: () -> Unit = {}
    private val answer =
        CallerAnswer(
            vertx = parts.context.vertx,
            request = request,
            id = id,
            onFirstByte = { parts.meters.firstByteAfter(parts.context.clock.nowMilliseconds() - arrivedAt) },
            beforeFinish = { beforeFinish(it) },
        )

    init {
        request.response().closeHandler { onClose() }
    }

    /** Refuses the request without looking at it. */
    fun refuse(reason: RefusalReason) = refuse(Refusal(reason, detailOf(reason)))

    suspend fun modelCall(caller: Caller) =
        withBody(caller) { body ->
            val call = intake.modelCall(caller, id, body).getOrElse { return@withBody refuse(it) }
            run(call)
        }

    suspend fun serviceCall(caller: Caller) {
        val call = ServiceCallParser.parse(request).getOrElse { return refuse(it) }
        intake.checkPool(caller, call.pool).getOrElse { return refuse(it) }
        withBody(caller) { body ->
            val toRun = intake.serviceCall(caller, id, call, request, body)
            val key = call.idempotencyKey
            if (key == null || toRun.isIdempotent) {
                run(toRun)
            } else {
                runOrder(OrderKey(caller.organisation, call.service, key), digest(call, body), toRun)
            }
        }
    }

    private suspend fun withBody(caller: Caller, handle: suspend (Buffer) -> Unit) {
        val body = bodies.read(request, caller.terms.limits.bodyBytes).getOrElse { return refuse(it) }
        try {
            handle(body)
        } finally {
            bodies.release(body.length())
        }
    }

    private suspend fun run(call: CallerRequest) {
        when (val outcome = outcomeOf(call) { it is CallerGoneException }) {
            is RunOutcome.Whole -> Unit
            is RunOutcome.GivenUp -> refuse(Refusal(outcome.reason, detailOf(outcome.reason), outcome.executed))
        }
    }

    /** Runs an order that is named by an idempotency key; it goes on when the caller leaves. */
    private suspend fun runOrder(key: OrderKey, digest: String, call: CallerRequest) {
        parts.dispatcher.check(call.waiting)?.let { return refuse(it) }
        val start =
            withContext(NonCancellable) { parts.context.orders.begin(key, digest, id) }
                .getOrElse { return refuse(refusalOfOrder(it)) }
        when (start) {
            is OrderStart.Finished -> answer.replay(start.answer)
            is OrderStart.Claimed -> runClaimed(start.claim, call)
        }
    }

    private suspend fun runClaimed(claim: OrderClaim, call: CallerRequest) {
        var isSettled = false
        beforeFinish = { recorded ->
            isSettled = true
            withContext(NonCancellable) { if (recorded == null) claim.abandon() else claim.finish(recorded) }
        }
        val outcome = outcomeOf(call) { false }
        if (outcome is RunOutcome.GivenUp) {
            if (!isSettled) settle(claim, outcome.executed)
            refuse(Refusal(outcome.reason, detailOf(outcome.reason), outcome.executed))
        }
    }

    private suspend fun settle(claim: OrderClaim, executed: Executed) =
        withContext(NonCancellable) {
            when (executed) {
                Executed.NO -> claim.release()
                Executed.UNKNOWN -> claim.abandon()
            }
        }

    private suspend fun outcomeOf(call: CallerRequest, endsOn: (CancellationException) -> Boolean): RunOutcome {
        val runner = RequestRunner(parts, call, answer)
        val running = scope.async(start = CoroutineStart.UNDISPATCHED) { runner.run() }
        active.add(running)
        onClose = { CallerGoneException().let { if (endsOn(it)) running.cancel(it) } }
        if (request.response().closed()) onClose()
        return try {
            running.await()
        } catch (cause: CancellationException) {
            RunOutcome.GivenUp(reasonOf(cause, runner.executed), runner.executed)
        } finally {
            onClose = {}
        }
    }

    private fun reasonOf(cause: CancellationException, executed: Executed): RefusalReason =
        when {
            cause is CallerGoneException || cause.cause is CallerGoneException -> RefusalReason.CALLER_GONE
            executed == Executed.NO -> RefusalReason.SHUTTING_DOWN
            else -> RefusalReason.CUT_BY_SHUTDOWN
        }

    private fun refuse(refusal: Refusal) {
        parts.meters.refused(refusal.reason)
        Logger.debug { "entry: refused $id: ${refusal.reason.type}, executed ${refusal.executed.label}" }
        answer.fail(refusal)
    }

    private fun refusalOfOrder(reason: RefusalReason): Refusal {
        val isUnknown = reason == RefusalReason.ORDER_OUTCOME_UNKNOWN || reason == RefusalReason.ORDER_RUNNING
        return Refusal(reason, detailOf(reason), if (isUnknown) Executed.UNKNOWN else Executed.NO)
    }

    private fun digest(call: ServiceCallDescription, body: Buffer): String =
        sha256("${call.method} ${call.path}\n".toByteArray() + body.bytes)

    /** Finds out who calls, or why the call is not taken. */
    fun identify(keys: BearerKeys): Result<Caller, Refusal> {
        val bundle =
            parts.context.bundles.current.value
                ?: return Err(Refusal(RefusalReason.NO_BUNDLE, detailOf(RefusalReason.NO_BUNDLE)))
        val organisation = keys.organisationOf(bundle, request.getHeader("Authorization"))
        val terms = organisation?.let { bundle.organisations[it] }
        return if (organisation == null || terms == null) {
            Err(Refusal(RefusalReason.UNKNOWN_KEY, detailOf(RefusalReason.UNKNOWN_KEY)))
        } else {
            Ok(Caller(bundle, organisation, terms))
        }
    }
}
