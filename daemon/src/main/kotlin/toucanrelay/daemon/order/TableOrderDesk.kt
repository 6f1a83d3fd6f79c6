package toucanrelay.daemon.order

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import toucanrelay.core.identity.RequestId
import toucanrelay.core.limit.TokenBucket
import toucanrelay.core.order.ClaimToken
import toucanrelay.core.order.OrderDecision
import toucanrelay.core.order.OrderRecord
import toucanrelay.core.order.OrderRules
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.time.Clock
import toucanrelay.core.time.EpochClock
import toucanrelay.core.time.MonotonicClock
import toucanrelay.store.PlatformError
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.TableService
import java.util.UUID

/**
 * Claims orders by conditional writes to the platform's table service.
 *
 * A write whose answer was lost is repeated with the same token: it either takes effect now, or conflicts with a row
 * that bears the token and so proves that the first write took effect.
 */
public class TableOrderDesk(
    tables: TableService,
    private val scope: CoroutineScope,
    private val settings: OrderDeskSettings = OrderDeskSettings(),
    private val epochClock: Clock = EpochClock,
    monotonicClock: Clock = MonotonicClock,
    private val newToken: () -> ClaimToken = { ClaimToken(UUID.randomUUID().toString()) },
) : OrderDesk {
    private val table = OrderTable(tables)
    private val rules = OrderRules()
    private val bucket = TokenBucket(monotonicClock, settings.claimsPerSecond, settings.claimBurst)

    override suspend fun begin(
        key: OrderKey,
        bodyDigest: String,
        request: RequestId,
    ): Result<OrderStart, RefusalReason> {
        if (!takeFromBucket()) return Err(RefusalReason.CLAIM_RATE_EXCEEDED)
        val attempt = ClaimAttempt(table.rowOf(key), newClaim(bodyDigest))
        return try {
            attempt.run()
        } catch (cancellation: CancellationException) {
            attempt.releaseLater()
            throw cancellation
        }
    }

    private fun takeFromBucket(): Boolean = synchronized(bucket) { bucket.tryTake() }

    private fun newClaim(bodyDigest: String) =
        OrderRecord.Claimed(
            token = newToken(),
            bodyDigest = bodyDigest,
            expiresAtEpochMilliseconds = epochClock.nowMilliseconds() + settings.claimLifetimeMilliseconds,
        )

    /** Writes one claim, over as many calls to the table service as it takes within the settings. */
    private inner class ClaimAttempt(
        private val row: RowKey,
        private val claim: OrderRecord.Claimed,
    ) {
        private var mayHaveTakenEffect = false

        suspend fun run(): Result<OrderStart, RefusalReason> {
            repeat(settings.attempts) { attempt ->
                tryOnce()?.let { return it }
                settings.pause.await(attempt)
            }
            releaseLater()
            return Err(RefusalReason.CLAIM_UNAVAILABLE)
        }

        fun releaseLater() {
            if (mayHaveTakenEffect) scope.launch { settlement(row, claim.token).release() }
        }

        /** Returns the outcome of the attempt, or null when another try may give one. */
        private suspend fun tryOnce(): Result<OrderStart, RefusalReason>? {
            val lostBefore = mayHaveTakenEffect
            mayHaveTakenEffect = true
            return table.create(row, claim).fold(
                success = { claimed() },
                failure = { error ->
                    mayHaveTakenEffect = lostBefore || error is PlatformError.OutcomeUnknown
                    when (error) {
                        is PlatformError.NotExecuted -> Err(RefusalReason.CLAIM_UNAVAILABLE).takeUnless { lostBefore }
                        is PlatformError.OutcomeUnknown -> null
                        is PlatformError.Conflict -> judgeExisting()
                    }
                },
            )
        }

        private suspend fun judgeExisting(): Result<OrderStart, RefusalReason>? =
            table.read(row).fold(
                success = { found -> found?.let { judge(it) } },
                failure = { null },
            )

        private suspend fun judge(found: VersionedOrder): Result<OrderStart, RefusalReason>? {
            val record = found.record ?: return Err(RefusalReason.CLAIM_UNAVAILABLE)
            val now = epochClock.nowMilliseconds()
            return when (val verdict = rules.decide(record, claim.token, claim.bodyDigest, now)) {
                OrderDecision.OwnClaim -> claimed()
                is OrderDecision.Replay<*> -> Ok(OrderStart.Finished(verdict.record.answer as RecordedAnswer))
                is OrderDecision.Refuse -> refused(verdict.reason)
                is OrderDecision.Expire -> expire(found, verdict)
            }
        }

        private suspend fun expire(
            found: VersionedOrder,
            verdict: OrderDecision.Expire,
        ): Result<OrderStart, RefusalReason>? =
            table.replace(row, found.version, verdict.record).fold(
                success = { refused(RefusalReason.ORDER_OUTCOME_UNKNOWN) },
                failure = { error ->
                    refused(RefusalReason.ORDER_OUTCOME_UNKNOWN).takeUnless { error is PlatformError.Conflict }
                },
            )

        private fun refused(reason: RefusalReason): Result<OrderStart, RefusalReason> {
            releaseLater()
            return Err(reason)
        }

        private fun claimed() =
            Ok(OrderStart.Claimed(TableOrderClaim(settlement(row, claim.token), scope, settings, claim)))
    }

    private fun settlement(row: RowKey, token: ClaimToken) = OrderSettlement(table, row, token, rules, settings)
}
