package toucanrelay.gateway.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.core.spec.style.scopes.DescribeSpecContainerScope
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual

private const val SIMULATED_SECONDS = 12
private val MEASURED_SECONDS = 6..11

/** Requests per second that the engines of a simulation serve with its default options. */
private const val CAPACITY_PER_SECOND = 180.0

/** Smallest part of its max-min share that an organisation with unmet demand may receive. */
private const val MIN_FRACTION_OF_SHARE = 0.5

/** Smallest part of the engines' throughput that is used while work waits. */
private const val MIN_UTILISATION = 0.95

private fun FleetSimulationBuilder.smallOrganisations() = repeat(20) { callers("small-$it", 2.5) }

/** Two organisations at all gateways and one with less demand at a single gateway, beside twenty small ones. */
private fun FleetSimulationBuilder.largeOrganisations(retries: Int = 1) {
    smallOrganisations()
    callers("wide-a", 150.0, retries = retries)
    callers("wide-b", 90.0)
    callers("narrow", 80.0, gateways = listOf(0))
}

private fun ServiceRecord.perSecond(name: String) = served(name, MEASURED_SECONDS).toDouble() / MEASURED_SECONDS.count()

private suspend fun DescribeSpecContainerScope.itDividesFairly(
    sharesPerSecond: Map<String, Double>,
    capacityPerSecond: Double = CAPACITY_PER_SECOND,
    configure: FleetSimulationBuilder.() -> Unit,
) {
    val record = fleetSimulation(configure).run(SIMULATED_SECONDS)
    sharesPerSecond.forEach { (name, share) ->
        it("serves $name at least half of its max-min share") {
            record.perSecond(name) shouldBeGreaterThanOrEqual share * MIN_FRACTION_OF_SHARE
        }
    }
    it("uses the engines") {
        val perSecond = record.served(MEASURED_SECONDS).toDouble() / MEASURED_SECONDS.count()
        perSecond shouldBeGreaterThanOrEqual capacityPerSecond * MIN_UTILISATION
    }
}

/** Max-min shares of [largeOrganisations] and of one of the small ones. */
private val SHARES = mapOf("wide-a" to 43.0, "wide-b" to 43.0, "narrow" to 43.0, "small-0" to 2.5)

class FleetFairnessTest :
    DescribeSpec({
        listOf(0.3, 0.5, 1.0, 3.0).forEach { factor ->
            describe("a fleet with a configured throughput of $factor times the real one") {
                itDividesFairly(SHARES) {
                    configuredFactor = factor
                    largeOrganisations()
                }
            }
        }

        describe("a fleet whose engines lose half of their speed without a change of the configuration") {
            itDividesFairly(SHARES.mapValues { if (it.key == "small-0") 2.5 else 13.0 }, CAPACITY_PER_SECOND / 2) {
                largeOrganisations()
                tokensPerMillisecond = 15
                configuredFactor = 2.0
            }
        }

        describe("a fleet in which the callers of one organisation repeat refused requests often") {
            itDividesFairly(SHARES) {
                configuredFactor = 0.5
                largeOrganisations(retries = 5)
            }
        }

        describe("a fleet in which organisations may use one region only") {
            val homed = mapOf("home-wide" to 22.5, "home-b" to 22.5, "home-c" to 22.5, "home-narrow" to 22.5)
            itDividesFairly(homed + mapOf("free-wide" to 45.0, "free-narrow" to 45.0)) {
                callers("home-wide", 150.0, regions = setOf(0))
                callers("home-b", 60.0, regions = setOf(0))
                callers("home-c", 60.0, regions = setOf(0))
                callers("home-narrow", 60.0, gateways = listOf(0), regions = setOf(0))
                callers("free-wide", 250.0)
                callers("free-narrow", 80.0, gateways = listOf(1))
            }
        }

        describe("a fleet in which the gateway of one organisation reads few of the digests because it lags") {
            itDividesFairly(SHARES) {
                largeOrganisations()
                lostDigests = mapOf(0 to 0.97)
            }
        }

        describe("a fleet that loses a third of its engines and has its gateways replaced one after the other") {
            itDividesFairly(SHARES.mapValues { if (it.key == "small-0") 2.5 else 23.0 }, CAPACITY_PER_SECOND * 2 / 3) {
                largeOrganisations()
                onStep = { fleet, milliseconds ->
                    if (milliseconds == 5_000L) fleet.engines.take(4).forEach { it.isRunning = false }
                    if (milliseconds == 5_000L) fleet.engines.subList(0, 4).clear()
                    if (milliseconds % 1_000 == 0L && milliseconds <= 8_000) {
                        val index = (milliseconds / 1_000).toInt()
                        fleet.gateways[index] = fleet.gateway("replacement-$index", index % 2)
                    }
                }
            }
        }
    })
