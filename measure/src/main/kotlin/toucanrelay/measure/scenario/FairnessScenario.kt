package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.FleetPlan
import toucanrelay.measure.fleet.FleetPolicy
import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.load.OrganisationMeter
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.GapBoundInputs
import toucanrelay.measure.result.GapMeter
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings
import toucanrelay.measure.result.widestBound
import kotlin.math.abs

private const val FIRST_SERVICE_SECONDS = 4.0

/** Up to 7 hops of the exchange tree, each a 250 ms round and 50 ms transit, plus 200 ms age of demand reports. */
private const val EXCHANGE_DELAY_SECONDS = 7 * (0.25 + 0.05) + 0.2

/** Measures the widest service gap under fleet-wide least-virtual-time scheduling and under two baselines. */
internal object FairnessScenario : Scenario {
    override val name = "fairness"

    override val description = "the widest service gap between backlogged organisations, with its bound and baselines"

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        require(settings.organisations >= 2) { "the scenario requires at least 2 organisations to measure a gap" }
        val plan = standardFleet(settings)
        val runs = FleetPolicy.entries.map { runPolicy(plan, it, settings) }
        val fleet = runs.first { it.policy == FleetPolicy.LEAST_VIRTUAL_TIME_FLEET }
        val arrival = runs.first { it.policy == FleetPolicy.FIRST_COME_FIRST_SERVED }
        val bound = boundFor(plan, fleet)
        return ScenarioResult(
            scenario = name,
            settings = settings,
            figures = runs.flatMap { it.figures } + Figure("derived bound", bound, "units per share") + fleet.shares,
            target =
                "the widest gap under ${fleet.policy.label} is at most the derived bound, " +
                    "and less than under ${arrival.policy.label}",
            withinTarget = fleet.widestGap <= minOf(bound, arrival.widestGap) && fleet.unitsPerSecond > 0,
        )
    }

    private class PolicyRun(
        val policy: FleetPolicy,
        val widestGap: Double,
        val unitsPerSecond: Double,
        val firstServiceSeconds: Double,
        val shares: List<Figure>,
        val failures: List<Figure>,
    ) {
        val figures: List<Figure> =
            listOf(
                Figure("${policy.label}: widest gap", widestGap, "units per share"),
                Figure("${policy.label}: service", unitsPerSecond, "units/s"),
                Figure("${policy.label}: latest first service", firstServiceSeconds, "s"),
            ) + failures.map { it.copy(name = "${policy.label}: ${it.name}") }
    }

    private suspend fun runPolicy(plan: FleetPlan, policy: FleetPolicy, settings: ScenarioSettings): PolicyRun =
        withFleet(plan, policy) { fleet ->
            fleet.underLoad(plan.contendingLoads(), settings.seed) { measure(fleet, policy, it, settings) }
        }

    private suspend fun measure(
        fleet: RunningFleet,
        policy: FleetPolicy,
        generator: LoadGenerator,
        settings: ScenarioSettings,
    ): PolicyRun {
        val firstService = FirstServiceTimer(generator.meters)
        sampleFor(FIRST_SERVICE_SECONDS) { firstService.sample() }
        fleet.awaitFullUtilisation()
        val meters = generator.meters
        val gaps = GapMeter(meters.map { it.organisation })
        val before = meters.map { it.serviceUnits }
        val start = System.nanoTime()
        sampleFor(settings.seconds.toDouble()) {
            gaps.sample(meters.map { it.servicePerShare })
            firstService.sample()
        }
        val seconds = (System.nanoTime() - start) / 1e9
        val gained = meters.zip(before) { meter, units -> meter.serviceUnits - units }
        return PolicyRun(
            policy = policy,
            widestGap = gaps.widest()?.unitsPerShare ?: 0.0,
            unitsPerSecond = gained.sum() / seconds,
            firstServiceSeconds = firstService.latestSeconds(),
            shares = shareFigures(meters, gained),
            failures = meters.failureFigures(),
        )
    }

    private fun boundFor(plan: FleetPlan, run: PolicyRun): Double =
        GapBoundInputs(plan.modelSlots, MAX_REQUEST_COST, run.unitsPerSecond, EXCHANGE_DELAY_SECONDS, MAX_HINT_FACTOR)
            .widestBound(plan.organisations.map { it.share })

    /** Compares each organisation's part of the service with its part of the shares. */
    private fun shareFigures(meters: List<OrganisationMeter>, gained: List<Double>): List<Figure> {
        val shares = meters.sumOf { it.share }
        val total = gained.sum().coerceAtLeast(1.0)
        return meters.zip(gained) { meter, units ->
            val error = abs(units / total - meter.share / shares) * 100
            Figure("${meter.organisation}: received part differs from deserved by", error, "percentage points")
        }
    }
}

/** Measures the time until each organisation first receives service. */
private class FirstServiceTimer(
    private val meters: List<OrganisationMeter>,
) {
    private val start = System.nanoTime()
    private val seconds = HashMap<String, Double>()

    fun sample() {
        meters
            .filter { it.tokens > 0 && it.organisation !in seconds }
            .forEach { seconds[it.organisation] = (System.nanoTime() - start) / 1e9 }
    }

    /** Returns the longest time to first service; the elapsed time while an organisation has received none. */
    fun latestSeconds(): Double =
        if (seconds.size < meters.size) (System.nanoTime() - start) / 1e9 else seconds.values.max()
}
