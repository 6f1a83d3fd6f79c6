package toucanrelay.daemon.order

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import toucanrelay.core.order.OrderRecord

/** A claim in the table service; an outcome that cannot be recorded immediately is retried in the background. */
internal class TableOrderClaim(
    private val settlement: OrderSettlement,
    private val scope: CoroutineScope,
    private val settings: OrderRegistrySettings,
    private val claim: OrderRecord.Claimed,
) : OrderClaim {
    private val unknown = OrderRecord.Unknown(claim.token, claim.bodyDigest)

    override suspend fun finish(answer: RecordedAnswer) {
        val outcome =
            if (answer.body.size > settings.maxAnswerBytes) {
                unknown
            } else {
                OrderRecord.Finished(claim.token, claim.bodyDigest, answer)
            }
        settle { settlement.record(outcome) }
    }

    override suspend fun release(): Unit = settle { settlement.release() }

    override suspend fun abandon(): Unit = settle { settlement.record(unknown) }

    private suspend fun settle(step: suspend () -> Boolean) {
        val isSettled = withContext(NonCancellable) { step() }
        if (!isSettled) scope.launch { settleInBackground(step) }
    }

    private suspend fun settleInBackground(step: suspend () -> Boolean) {
        repeat(BACKGROUND_ATTEMPTS) { attempt ->
            settings.backoff.await(settings.maxAttempts + attempt)
            if (step()) return
        }
        Logger.warn("order: could not record the outcome of a claim; it will be reported as unknown")
    }

    private companion object {
        const val BACKGROUND_ATTEMPTS = 60
    }
}
