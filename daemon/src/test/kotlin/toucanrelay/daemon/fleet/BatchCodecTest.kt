package toucanrelay.daemon.fleet

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.exchange.AccountEntry
import toucanrelay.core.exchange.ExchangeBatch
import toucanrelay.core.fairness.ServiceAccount
import toucanrelay.core.identity.OrganisationId
import toucanrelay.wire.ServiceBatch

class BatchCodecTest :
    DescribeSpec({
        val depot = OrganisationId("depot")
        val van = OrganisationId("van")

        describe("BatchWriter and BatchReader of one stream") {
            it("round-trip batches and send the name of an organisation once") {
                val writer = BatchWriter()
                val reader = BatchReader()
                val opening =
                    ExchangeBatch(
                        sequence = 1,
                        totals = persistentListOf(AccountEntry(depot, ServiceAccount(12.5, 0.25))),
                        backlogged = persistentSetOf(van),
                        floor = 3.5,
                        creditFloor = Double.NEGATIVE_INFINITY,
                    )
                val next =
                    ExchangeBatch(
                        sequence = 2,
                        increments = persistentListOf(AccountEntry(van, ServiceAccount(1.0, 0.0))),
                        totals = persistentListOf(AccountEntry(van, ServiceAccount(7.0, 2.0))),
                        backlogged = persistentSetOf(van, depot),
                        oldestMilliseconds = 40,
                    )

                listOf(opening, next).forEach { reader.read(writer.write(it)).get() shouldBe it }
                writer.write(next).updatesList.count { it.organisation.isNotEmpty() } shouldBe 0
            }

            it("reject a batch with an unknown index or a floor that is not a number") {
                val usedWriter = BatchWriter().also { it.write(ExchangeBatch(1, backlogged = persistentSetOf(depot))) }
                val withoutName = usedWriter.write(ExchangeBatch(2, backlogged = persistentSetOf(depot)))
                val notANumber =
                    ServiceBatch
                        .newBuilder()
                        .setSequence(1)
                        .setFloor(Double.NaN)
                        .build()

                BatchReader().read(withoutName).getError() shouldBe BatchError.UnknownIndex(0)
                BatchReader().read(notANumber).getError() shouldBe BatchError.NotANumber
            }
        }
    })
