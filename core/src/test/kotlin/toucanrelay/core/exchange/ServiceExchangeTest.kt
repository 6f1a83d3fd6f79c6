package toucanrelay.core.exchange

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import toucanrelay.core.fairness.FairnessSettings
import toucanrelay.core.fairness.FleetLedger
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

/** Each of at most 25 entries holds back less than one charge step. */
private const val MAX_UNSENT_CHARGE = 25.0 / 1_024

class ServiceExchangeTest :
    DescribeSpec({
        val depot = OrganisationId("depot")
        val organisations = List(5) { OrganisationId("organisation-$it") }

        fun ExchangeFleet.chargeAtRandom(
            random: Random,
            steps: Int,
            disturb: () -> Unit = {},
        ): Map<OrganisationId, Double> {
            val totals = HashMap<OrganisationId, Double>()
            repeat(steps) {
                val organisation = organisations.random(random)
                val units = random.nextDouble(-2.0, 10.0)
                exchanges.random(random).charge(organisation, units)
                totals.merge(organisation, units, Double::plus)
                disturb()
                advance(random.nextLong(60))
            }
            return totals
        }

        describe("increments") {
            it("reach every entry exactly once for any tree and any delays") {
                checkAll(PropTestConfig(seed = 71, iterations = 40), Arb.long(), Arb.int(1..25)) { seed, count ->
                    val random = Random(seed)
                    val fleet = ExchangeFleet(random, ExchangeFleet.locations(count, failureDomains = 5))
                    fleet.connect()
                    fleet.quiesce()
                    val totals = fleet.chargeAtRandom(random, steps = 200)
                    fleet.quiesce()

                    totals.forEach { (organisation, total) ->
                        fleet.exchanges.forEach {
                            it.virtualTime(organisation) shouldBe
                                (total plusOrMinus MAX_UNSENT_CHARGE)
                        }
                    }
                }
            }

            it("sent earlier are neither lost nor applied twice when streams break, and all entries converge") {
                checkAll(PropTestConfig(seed = 72, iterations = 40), Arb.long(), Arb.int(2..25)) { seed, count ->
                    val random = Random(seed)
                    val fleet = ExchangeFleet(random, ExchangeFleet.locations(count, failureDomains = 5))
                    fleet.connect()
                    fleet.quiesce()
                    val settledTotals = fleet.chargeAtRandom(random, steps = 100)
                    fleet.quiesce()

                    var breaks = 0
                    val laterCharges = HashMap<OrganisationId, Double>()
                    repeat(60) {
                        val organisation = organisations.random(random)
                        val units = random.nextDouble(10.0)
                        fleet.exchanges.random(random).charge(organisation, units)
                        laterCharges.merge(organisation, units, Double::plus)
                        if (random.nextInt(4) == 0) {
                            fleet.breakStream(random.nextInt(count))
                            breaks++
                        }
                        fleet.advance(random.nextLong(200))
                        fleet.connect()
                    }
                    fleet.quiesce()

                    organisations.forEach { organisation ->
                        val before = settledTotals[organisation] ?: 0.0
                        val during = laterCharges[organisation] ?: 0.0
                        val agreed = fleet.exchanges.first().virtualTime(organisation)
                        fleet.exchanges.forEach { it.virtualTime(organisation) shouldBe (agreed plusOrMinus 1e-6) }
                        agreed shouldBeGreaterThanOrEqual before - MAX_UNSENT_CHARGE
                        agreed shouldBeLessThanOrEqual before + during * (1 + breaks) + MAX_UNSENT_CHARGE
                    }
                }
            }

            it("of a stream are rejected when a batch is missing or repeated, or the stream is not open") {
                val clock = ManualClock()
                val exchange = ServiceExchange(clock, FleetLedger(clock))
                exchange.open(ExchangeLinkId(1))
                exchange.receive(ExchangeLinkId(1), ExchangeBatch(sequence = 1))

                exchange.receive(ExchangeLinkId(1), ExchangeBatch(sequence = 3)).getError() shouldBe
                    ExchangeError.Gap(2, 3)
                exchange.receive(ExchangeLinkId(1), ExchangeBatch(sequence = 1)).getError() shouldBe
                    ExchangeError.Gap(2, 1)
                exchange.receive(ExchangeLinkId(2), ExchangeBatch(sequence = 1)).getError() shouldBe
                    ExchangeError.UnknownLink
            }
        }

        describe("an entry that restarts empty") {
            it("receives the accounts of the fleet and lowers none at other entries") {
                val fleet = ExchangeFleet(Random(1), ExchangeFleet.locations(6, failureDomains = 3))
                fleet.connect()
                fleet.quiesce()
                val totals = fleet.chargeAtRandom(Random(2), steps = 100)
                fleet.quiesce()

                fleet.restart(3)
                fleet.connect()
                fleet.quiesce()

                totals.forEach { (organisation, total) ->
                    fleet.exchanges.forEach {
                        it.virtualTime(organisation) shouldBe (total plusOrMinus MAX_UNSENT_CHARGE)
                    }
                }
            }
        }

        describe("an organisation that becomes backlogged") {
            val settings = FairnessSettings()

            it("is lifted to the least virtual time of the backlogged organisations on all entries") {
                val fleet = ExchangeFleet(Random(1), ExchangeFleet.locations(6, failureDomains = 3))
                fleet.connect()
                fleet.exchanges[0].activate(organisations[0])
                fleet.exchanges[0].charge(organisations[0], 100.0)
                fleet.exchanges[1].activate(organisations[1])
                fleet.exchanges[1].charge(organisations[1], 130.0)
                repeat(100) { fleet.advance(settings.settlingMilliseconds / 20) }

                fleet.exchanges[5].activate(depot)
                fleet.quiesce()

                fleet.exchanges.forEach { it.virtualTime(depot) shouldBe (100.0 plusOrMinus 1e-6) }
            }

            it("is not lifted when it already has waiting work at another entry") {
                val fleet = ExchangeFleet(Random(1), ExchangeFleet.locations(6, failureDomains = 3))
                fleet.connect()
                fleet.exchanges[0].activate(organisations[0])
                fleet.exchanges[1].activate(depot)
                fleet.exchanges[0].charge(organisations[0], 100.0)
                fleet.quiesce()

                fleet.exchanges[5].activate(depot)
                fleet.quiesce()

                fleet.exchanges.forEach { it.virtualTime(depot) shouldBe 0.0 }
            }
        }

        describe("a fleet after a partition") {
            it("keeps the lag of an organisation within the rejoin credit once the partitions are connected again") {
                val settings = FairnessSettings()
                val fleet = ExchangeFleet(Random(1), ExchangeFleet.locations(8, failureDomains = 4), settings)
                fleet.connect { from, to -> from.region == to.region }
                val fast = fleet.locations.indexOfFirst { it.region.value == "region-0" }
                val slow = fleet.locations.indexOfFirst { it.region.value == "region-1" }
                fleet.exchanges[fast].activate(organisations[0])
                fleet.exchanges[slow].activate(organisations[1])
                repeat(3_600) {
                    fleet.exchanges[fast].charge(organisations[0], 10.0)
                    fleet.exchanges[slow].charge(organisations[1], 1.0)
                    fleet.advance(1_000)
                }

                fleet.connect()
                fleet.quiesce()

                // The settling window of the floor is added, and an eighth of the credit for the sampling interval.
                val creditSeconds =
                    (settings.rejoinCreditMilliseconds * 9 / 8 + 2 * settings.settlingMilliseconds) / 1_000.0 + 1
                fleet.exchanges.forEach {
                    val lead = it.virtualTime(organisations[0]) - it.virtualTime(organisations[1])
                    lead shouldBeLessThanOrEqual creditSeconds * 10.0
                    lead shouldBeGreaterThanOrEqual 0.0
                }
            }
        }
    })
