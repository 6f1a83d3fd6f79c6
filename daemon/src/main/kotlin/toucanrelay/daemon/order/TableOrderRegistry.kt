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
 * A write whose response was lost is retried with the same token: it either takes effect now, or conflicts with a row
 * that contains the token, which proves that the first write took effect.
 */
public class TableOrderRegistry(
    tables: TableService,
    private val scope: CoroutineScope,
    private val settings: OrderRegistrySettings = OrderRegistrySettings(),
    private val epochClock: Clock = EpochClock,
    monotonicClock: Clock = MonotonicClock,
    private val newToken: () -> ClaimToken = { ClaimToken(UUID.randomUUID().toString()) },
) : OrderRegistry {
    private val table = OrderTable(tables)
    private val rules = OrderRules()
    private val rateLimit = TokenBucket(monotonicClock, settings.claimsPerSecond, settings.claimBurst)

    override suspend fun begin(
        key: OrderKey,
        bodyDigest: String,
        request: RequestId,
    ): Result<OrderStart, RefusalReason> {
        if (!tryTakeRatePermit()) return Err(RefusalReason.CLAIM_RATE_EXCEEDED)
        val attempt = ClaimAttempt(table.rowOf(key), newClaim(bodyDigest))
        return try {
            attempt.run()
        } catch (cancellation: CancellationException) {
            attempt.releaseLater()
            throw cancellation
        }
    }

    private fun tryTakeRatePermit(): Boolean = synchronized(rateLimit) { rateLimit.tryTake() }

    private fun newClaim(bodyDigest: String) =
        OrderRecord.Claimed(
            token = newToken(),
            bodyDigest = bodyDigest,
            expiresAtEpochMilliseconds = epochClock.nowMilliseconds() + settings.claimLifetimeMilliseconds,
        )

    /** Writes one claim, with up to the configured number of calls to the table service. */
    private inner class ClaimAttempt(
        private val row: RowKey,
        private val claim: OrderRecord.Claimed,
    ) {
        private var mayHaveTakenEffect = false

        suspend fun run(): Result<OrderStart, RefusalReason> {
            repeat(settings.maxAttempts) { attempt ->
                tryOnce()?.let { return it }
                settings.backoff.await(attempt)
            }
            releaseLater()
            return Err(RefusalReason.CLAIM_UNAVAILABLE)
        }

        fun releaseLater() {
            if (mayHaveTakenEffect) scope.launch { settlement(row, claim.token).release() }
        }

        /** Returns the result of one attempt; null when it has to be retried. */
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
                        is PlatformError.Conflict -> decideOnExisting()
                    }
                },
            )
        }

        private suspend fun decideOnExisting(): Result<OrderStart, RefusalReason>? =
            table.read(row).fold(
                success = { found -> found?.let { decide(it) } },
                failure = { null },
            )

        private suspend fun decide(found: VersionedOrder): Result<OrderStart, RefusalReason>? {
            val record = found.record ?: return Err(RefusalReason.CLAIM_UNAVAILABLE)
            val now = epochClock.nowMilliseconds()
            return when (val decision = rules.decide(record, claim.token, claim.bodyDigest, now)) {
                OrderDecision.OwnClaim -> claimed()
                is OrderDecision.Replay<*> -> Ok(OrderStart.Finished(decision.record.answer as RecordedAnswer))
                is OrderDecision.Refuse -> refused(decision.reason)
                is OrderDecision.Expire -> expire(found, decision)
            }
        }

        private suspend fun expire(
            found: VersionedOrder,
            decision: OrderDecision.Expire,
        ): Result<OrderStart, RefusalReason>? =
            table.replace(row, found.version, decision.record).fold(
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
