package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.fleet.fleetPlan
import toucanrelay.measure.load.OrderAudit
import toucanrelay.measure.load.OrderLoad
import toucanrelay.measure.load.OrderPlan
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings
import toucanrelay.standins.PlatformFaults

private const val SERVICE = "rag-store"
private const val STOP_GRACE_MILLISECONDS = 15_000L
private const val LOST_ANSWERS = 20
private const val STORE_DELAY_MILLISECONDS = 400L

/** Places orders while the table service loses answers, is down or is slow. */
internal object StoreOutageScenario : Scenario {
    override val name = "store-outage"

    override val description = "orders that ran twice, or ran although refused as not run, while the store fails"

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        val plan =
            fleetPlan {
                region("uusimaa", "uusimaa-1", "uusimaa-2")
                region("pohjanmaa", "pohjanmaa-1")
                repeat(settings.organisations) { organisation("organisation-${it + 1}") }
                entries(settings.entries)
                service(SERVICE, settings.targets)
            }
        return withFleet(plan) { fleet -> measure(fleet, settings) }
    }

    private suspend fun measure(fleet: RunningFleet, settings: ScenarioSettings): ScenarioResult {
        val orderPlan =
            OrderPlan(
                SERVICE,
                fleet.plan.organisations
                    .first()
                    .key,
            )
        val load = OrderLoad(fleet.loadVertx, fleet.endpoints, orderPlan, settings.seed)
        load.start()
        val phases = faultPhases()
        phases.forEach { faults ->
            fleet.platform.faults = faults
            sampleFor(settings.seconds.toDouble() / phases.size) {}
        }
        fleet.platform.faults = PlatformFaults()
        load.stop(STOP_GRACE_MILLISECONDS)
        val audit = load.log.audit { key -> fleet.services.sumOf { it.service.runsOfOrder(key) } }
        return result(settings, audit, load)
    }

    private fun faultPhases() =
        listOf(
            PlatformFaults(),
            PlatformFaults(loseAnswersOfNextWrites = LOST_ANSWERS),
            PlatformFaults(down = true),
            PlatformFaults(delayMilliseconds = STORE_DELAY_MILLISECONDS, loseAnswersOfNextWrites = LOST_ANSWERS),
            PlatformFaults(),
        )

    private fun result(settings: ScenarioSettings, audit: OrderAudit, load: OrderLoad) =
        ScenarioResult(
            scenario = name,
            settings = settings,
            figures =
                listOf(
                    Figure("orders placed", audit.orders.toDouble(), "orders"),
                    Figure("attempts", audit.attempts.toDouble(), "attempts"),
                    Figure("orders that succeeded", audit.succeeded.toDouble(), "orders"),
                    Figure("orders run twice", audit.ranTwice.toDouble(), "orders"),
                    Figure("orders run although refused as not run", audit.falseRefusals.toDouble(), "orders"),
                    Figure("orders not run although answered", audit.falseSuccesses.toDouble(), "orders"),
                ) +
                    load.log.attemptsByOutcome().map { (outcome, count) ->
                        Figure(outcome, count.toDouble(), "attempts")
                    },
            target = "no order runs twice, and no refusal that says not run is false",
            withinTarget =
                audit.ranTwice == 0 && audit.falseRefusals == 0 && audit.falseSuccesses == 0 && audit.succeeded > 0,
        )
}
