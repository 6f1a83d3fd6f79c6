package toucanrelay.daemon.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.google.protobuf.UnsafeByteOperations
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.OrganisationSettings
import toucanrelay.core.charge.CostEstimates
import toucanrelay.core.charge.CostHint
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.time.Clock
import toucanrelay.daemon.entry.dispatch.CallerRequest
import toucanrelay.wire.ModelCall
import toucanrelay.wire.ServiceCall

/**
 * An authenticated caller.
 *
 * @property bundle the bundle in force when the request arrived.
 * @property organisation the caller's organisation.
 * @property settings limits and allowed pools of the organisation.
 */
internal class Caller(
    val bundle: Bundle,
    val organisation: OrganisationId,
    val settings: OrganisationSettings,
)

/** Validates calls and converts them to requests for the queue. */
internal class RequestIntake(
    private val clock: Clock,
    private val estimates: CostEstimates,
    private val requestTimeoutMilliseconds: Long,
) {
    /** Checks that a target serves [pool] and that [caller] is allowed to use it. */
    fun checkPool(caller: Caller, pool: Pool): Result<Unit, Refusal> =
        when {
            caller.bundle.targets.values
                .none { pool in it.pools } -> {
                Err(Refusal(RefusalReason.UNKNOWN_POOL, "No target serves \"$pool\"."))
            }

            !caller.settings.mayUse(pool) -> {
                Err(Refusal(RefusalReason.FORBIDDEN_POOL, "The organisation may not use \"$pool\"."))
            }

            else -> {
                Ok(Unit)
            }
        }

    fun modelRequest(caller: Caller, id: RequestId, body: Buffer): Result<CallerRequest, Refusal> {
        val bytes = body.bytes
        val call = ModelCallParser.parse(bytes).getOrElse { return Err(it) }
        checkPool(caller, call.pool).getOrElse { return Err(it) }
        val expected = estimates.expectedTokens(caller.organisation, call.pool, call.maxTokens)
        val hint = CostHint.ofModelCall(bytes.size.toLong(), expected)
        return Ok(
            CallerRequest(
                waiting =
                    waiting(caller, id, call.pool, hint, bytes.size).copy(
                        expectedAnswerBytes = (expected * ANSWER_BYTES_PER_TOKEN).toLong(),
                        prefixHash = call.prefixHash,
                    ),
                isIdempotent = true,
                deadlineMilliseconds = clock.nowMilliseconds() + requestTimeoutMilliseconds,
                hint = hint,
                hintTokens = call.maxTokens,
                content = { request -> request.setModel(wireCall(call, bytes)) },
            ),
        )
    }

    fun serviceRequest(
        caller: Caller,
        id: RequestId,
        call: ServiceCallDescription,
        request: HttpServerRequest,
        body: Buffer,
    ): CallerRequest {
        val bytes = body.bytes
        val wireCall =
            ServiceCall
                .newBuilder()
                .setService(call.service)
                .setMethod(call.method)
                .setPath(call.path)
                .addAllHeaders(request.headers().forwarded())
                .setBody(UnsafeByteOperations.unsafeWrap(bytes))
                .build()
        return CallerRequest(
            waiting = waiting(caller, id, call.pool, CostHint.ofServiceCall, bytes.size),
            isIdempotent = call.isIdempotent(caller.bundle),
            deadlineMilliseconds = clock.nowMilliseconds() + requestTimeoutMilliseconds,
            hint = CostHint.ofServiceCall,
            hintTokens = 0,
            content = { message -> message.setService(wireCall) },
        )
    }

    private fun waiting(
        caller: Caller,
        id: RequestId,
        pool: Pool,
        hint: CostHint,
        bodyBytes: Int,
    ) = WaitingRequest(
        id = id,
        organisation = caller.organisation,
        pool = pool,
        cost = hint.units(caller.bundle.weights),
        arrivedAtMilliseconds = clock.nowMilliseconds(),
        bodyBytes = bodyBytes.toLong(),
    )

    private fun wireCall(call: ModelCallDescription, body: ByteArray): ModelCall =
        ModelCall
            .newBuilder()
            .setModel(call.model)
            .setAdapter(call.adapter)
            .setStreamed(call.isStreamed)
            .setBody(UnsafeByteOperations.unsafeWrap(body))
            .setPrefixHash(call.prefixHash)
            .build()

    private companion object {
        /** Approximate size of the server-sent event that carries one token. */
        const val ANSWER_BYTES_PER_TOKEN = 200
    }
}
