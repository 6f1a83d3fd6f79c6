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
import toucanrelay.daemon.entry.dispatch.EntryComponents
import toucanrelay.daemon.entry.dispatch.RequestRunner
import toucanrelay.daemon.entry.dispatch.RunOutcome
import toucanrelay.daemon.order.OrderClaim
import toucanrelay.daemon.order.OrderKey
import toucanrelay.daemon.order.OrderStart

/** Handles one request of a caller, from its headers to the end of its answer. */
internal class CallHandler(
    private val shared: EntryComponents,
    private val scope: CoroutineScope,
    private val intake: RequestIntake,
    private val bodies: BodyReader,
    private val active: ActiveRequests,
    private val request: HttpServerRequest,
    private val id: RequestId,
) {
    private val arrivedAtMilliseconds = shared.context.clock.nowMilliseconds()
    private var beforeFinish: suspend (toucanrelay.daemon.order.RecordedAnswer?) -> Unit = {}
    private var onClose: () -> Unit = {}
    private val answer =
        CallerAnswerWriter(
            vertx = shared.context.vertx,
            request = request,
            id = id,
            onFirstByte = {
                shared.meters.recordFirstByte(shared.context.clock.nowMilliseconds() - arrivedAtMilliseconds)
            },
            beforeFinish = { beforeFinish(it) },
        )

    init {
        request.response().closeHandler { onClose() }
    }

    /** Refuses the request with the default detail of [reason]. */
    fun refuse(reason: RefusalReason) = refuse(Refusal(reason, detailOf(reason)))

    suspend fun handleModelCall(caller: Caller) =
        withBody(caller) { body ->
            val call = intake.modelRequest(caller, id, body).getOrElse { return@withBody refuse(it) }
            run(call)
        }

    suspend fun handleServiceCall(caller: Caller) {
        val call = ServiceCallParser.parse(request).getOrElse { return refuse(it) }
        intake.checkPool(caller, call.pool).getOrElse { return refuse(it) }
        withBody(caller) { body ->
            val callerRequest = intake.serviceRequest(caller, id, call, request, body)
            val key = call.idempotencyKey
            if (key == null || callerRequest.isIdempotent) {
                run(callerRequest)
            } else {
                runOrder(OrderKey(caller.organisation, call.service, key), digest(call, body), callerRequest)
            }
        }
    }

    private suspend fun withBody(caller: Caller, handle: suspend (Buffer) -> Unit) {
        val body = bodies.read(request, caller.settings.limits.bodyBytes).getOrElse { return refuse(it) }
        try {
            handle(body)
        } finally {
            bodies.release(body.length())
        }
    }

    private suspend fun run(call: CallerRequest) {
        when (val outcome = outcomeOf(call) { it is CallerGoneException }) {
            is RunOutcome.Answered -> Unit
            is RunOutcome.GivenUp -> refuse(Refusal(outcome.reason, detailOf(outcome.reason), outcome.executed))
        }
    }

    /** Runs an order that has an idempotency key; it is not cancelled when the caller closes the connection. */
    private suspend fun runOrder(key: OrderKey, digest: String, call: CallerRequest) {
        shared.dispatcher.check(call.waiting)?.let { return refuse(it) }
        val start =
            withContext(NonCancellable) { shared.context.orders.begin(key, digest, id) }
                .getOrElse { return refuse(orderRefusalOf(it)) }
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

    private suspend fun outcomeOf(call: CallerRequest, cancelsOn: (CancellationException) -> Boolean): RunOutcome {
        val runner = RequestRunner(shared, call, answer)
        val running = scope.async(start = CoroutineStart.UNDISPATCHED) { runner.run() }
        active.add(running)
        onClose = { CallerGoneException().let { if (cancelsOn(it)) running.cancel(it) } }
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
        shared.meters.recordRefusal(refusal.reason)
        Logger.debug { "entry: refused request $id: ${refusal.reason.type}, executed: ${refusal.executed.label}" }
        answer.fail(refusal)
    }

    private fun orderRefusalOf(reason: RefusalReason): Refusal {
        val isUnknown = reason == RefusalReason.ORDER_OUTCOME_UNKNOWN || reason == RefusalReason.ORDER_RUNNING
        return Refusal(reason, detailOf(reason), if (isUnknown) Executed.UNKNOWN else Executed.NO)
    }

    private fun digest(call: ServiceCallDescription, body: Buffer): String =
        sha256("${call.method} ${call.path}\n".toByteArray() + body.bytes)

    /** Authenticates the caller by its bearer key; returns a refusal if that is not possible. */
    fun authenticate(keys: BearerKeys): Result<Caller, Refusal> {
        val bundle =
            shared.context.bundles.current.value
                ?: return Err(Refusal(RefusalReason.NO_BUNDLE, detailOf(RefusalReason.NO_BUNDLE)))
        val organisation = keys.organisationOf(bundle, request.getHeader("Authorization"))
        val settings = organisation?.let { bundle.organisations[it] }
        return if (organisation == null || settings == null) {
            Err(Refusal(RefusalReason.UNKNOWN_KEY, detailOf(RefusalReason.UNKNOWN_KEY)))
        } else {
            Ok(Caller(bundle, organisation, settings))
        }
    }
}
