package toucanrelay.gateway.dispatch

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual

private const val SIMULATED_SECONDS = 12
private val MEASURED_SECONDS = 6..11
private const val GATEWAYS = 24
private const val ENGINES = 30
private const val SMALL_ORGANISATIONS = 28

private val LONG_AND_SHORT_PROMPTS =
    listOf(
        PromptKind("long", sharedTokens = 6_300, subjects = 20, ownTokens = 2_900, outputTokens = 50),
        PromptKind("medium", sharedTokens = 570, subjects = 20, ownTokens = 1_800, outputTokens = 25),
        PromptKind("short", sharedTokens = 170, subjects = 20, ownTokens = 540, outputTokens = 280),
    )

/** An organisation of which [narrowPerSecond] requests reach one gateway, beside one at all gateways and many small ones. */
private fun simulate(
    narrowPerSecond: Double,
    smallPerSecond: Double,
    turnMilliseconds: Map<Int, Long> = emptyMap(),
): ServiceRecord =
    fleetSimulation {
        gateways = GATEWAYS
        engines = ENGINES
        tokensPerMillisecond = 40
        kinds = LONG_AND_SHORT_PROMPTS
        this.turnMilliseconds = turnMilliseconds
        repeat(SMALL_ORGANISATIONS) { callers("small-$it", smallPerSecond) }
        callers("wide", 300.0)
        callers("narrow", narrowPerSecond, gateways = listOf(0))
    }.run(SIMULATED_SECONDS)

// A gateway with many requests of one organisation tried the oldest ones again and again, for which no time was left.
class SingleGatewayFairnessTest :
    DescribeSpec({
        mapOf(
            "asks as much as the one at all gateways" to simulate(narrowPerSecond = 300.0, smallPerSecond = 15.0),
            "asks three times as much" to simulate(narrowPerSecond = 900.0, smallPerSecond = 15.0),
            "competes with small ones for most of the capacity" to
                simulate(narrowPerSecond = 300.0, smallPerSecond = 21.0),
            "has a gateway that takes a turn each 100 ms" to
                simulate(narrowPerSecond = 300.0, smallPerSecond = 15.0, turnMilliseconds = mapOf(0 to 100L)),
        ).forEach { (condition, record) ->
            describe("an organisation at one gateway that $condition") {
                it("is served at least half of what the organisation at all gateways is") {
                    record.servedTokens("narrow", MEASURED_SECONDS) * 2 shouldBeGreaterThanOrEqual
                        record.servedTokens("wide", MEASURED_SECONDS)
                }
            }
        }
    })
