package toucanrelay.daemon.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import toucanrelay.core.exchange.ExchangeLinkId
import toucanrelay.core.exchange.ExchangePace
import toucanrelay.core.exchange.ServiceExchange
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

class ExchangeCostTest :
    DescribeSpec({
        val organisations = List(220) { OrganisationId("organisation-number-$it") }
        val backlogged = organisations.take(22)
        val pace = ExchangePace()

        /** Returns the largest batch size in bytes in steady state, with all organisations served in each round. */
        fun steadyBatchBytes(): Long {
            val clock = ManualClock()
            val random = Random(1)
            val exchange = ServiceExchange(clock, FleetLedger(clock))
            val link = ExchangeLinkId(1)
            val writer = BatchWriter()
            exchange.open(link)
            backlogged.forEach { exchange.activate(it) }
            val sizes =
                List(200) {
                    organisations.forEach { exchange.charge(it, random.nextDouble(-10.0, 100.0)) }
                    clock.advance(pace.maxIntervalMilliseconds)
                    exchange.advance()
                    writer.write(exchange.nextBatch(link)!!).serializedSize.toLong()
                }
            return sizes.takeLast(100).max()
        }

        describe("the exchange among 850 entries with 220 organisations, a tenth of them backlogged") {
            it("uses at most two thirds of the control budget of 6 KB/s per process, sent and received") {
                val batch = steadyBatchBytes()

                // The tree bounds the links of an entry to six: one parent, and children of three levels.
                (1L..6L).forEach { links ->
                    val bytes = batch * links
                    val perSecond = 2 * bytes * 1_000 / pace.nextDelayMilliseconds(bytes)
                    withClue("$links links, $batch bytes/batch") { perSecond shouldBeLessThanOrEqual 6_000L * 2 / 3 }
                }
            }
        }
    })
