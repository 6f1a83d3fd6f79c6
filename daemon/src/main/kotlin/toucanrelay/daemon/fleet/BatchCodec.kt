package toucanrelay.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import toucanrelay.core.exchange.AccountEntry
import toucanrelay.core.exchange.ExchangeBatch
import toucanrelay.core.fairness.ChargeRounder
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId
import toucanrelay.wire.ServiceBatch
import toucanrelay.wire.ServiceUpdate

/** Encodes the batches of one stream; sends the name of each organisation once and an index afterwards. */
internal class BatchWriter {
    private val indexes = HashMap<OrganisationId, Int>()

    /** Returns the message for [batch]. */
    fun write(batch: ExchangeBatch): ServiceBatch {
        val charged = batch.increments.mapTo(HashSet()) { it.organisation }
        val backlogMarkers = (batch.backlogged - charged).map { AccountEntry(it, ServiceAccount()) }
        val message =
            ServiceBatch
                .newBuilder()
                .setSequence(batch.sequence)
                .setFloor(batch.floor)
                .setOldestMilliseconds(batch.oldestMilliseconds)
                .addAllUpdates((batch.increments + backlogMarkers).map { write(it, batch, isTotal = false) })
                .addAllUpdates(batch.totals.map { write(it, batch, isTotal = true) })
        batch.creditFloor?.let { message.setCreditFloor(it) }
        return message.build()
    }

    private fun write(entry: AccountEntry, batch: ExchangeBatch, isTotal: Boolean): ServiceUpdate {
        val knownIndex = indexes[entry.organisation]
        val update =
            ServiceUpdate
                .newBuilder()
                .setIndex(knownIndex ?: indexes.size.also { indexes[entry.organisation] = it })
                .setChargedSteps(ChargeRounder.toSteps(entry.account.charged))
                .setRefundedSteps(ChargeRounder.toSteps(entry.account.refunded))
                .setBacklogged(!isTotal && entry.organisation in batch.backlogged)
                .setTotal(isTotal)
        if (knownIndex == null) update.setOrganisation(entry.organisation.value)
        return update.build()
    }
}

/** Decodes the batches of one stream. */
internal class BatchReader {
    private val names = HashMap<Int, OrganisationId>()

    /** Returns the batch in [message]. */
    fun read(message: ServiceBatch): Result<ExchangeBatch, BatchError> {
        if (!message.floor.isFinite() || message.creditFloor.isNaN()) return Err(BatchError.NotANumber)
        message.updatesList.filter { it.organisation.isNotEmpty() }.forEach {
            names[it.index] =
                OrganisationId(it.organisation)
        }
        message.updatesList.firstOrNull { it.index !in names }?.let { return Err(BatchError.UnknownIndex(it.index)) }
        val (totals, increments) = message.updatesList.partition { it.total }
        return Ok(
            ExchangeBatch(
                sequence = message.sequence,
                increments = increments.map { read(it) }.filterNot { it.account.isEmpty }.toPersistentList(),
                totals = totals.map { read(it) }.toPersistentList(),
                backlogged = increments.filter { it.backlogged }.map { names.getValue(it.index) }.toPersistentSet(),
                floor = message.floor,
                creditFloor = if (message.hasCreditFloor()) message.creditFloor else null,
                oldestMilliseconds = message.oldestMilliseconds,
            ),
        )
    }

    private fun read(update: ServiceUpdate): AccountEntry =
        AccountEntry(
            names.getValue(update.index),
            ServiceAccount(
                ChargeRounder.toVirtualTime(update.chargedSteps),
                ChargeRounder.toVirtualTime(update.refundedSteps),
            ),
        )
}

/** Why a message is not a valid batch. */
internal sealed interface BatchError {
    /** It uses an index that the stream has not assigned to an organisation. */
    data class UnknownIndex(
        val index: Int,
    ) : BatchError

    /** Its system virtual time is not finite, or its credit floor is not a number. */
    data object NotANumber : BatchError
}
