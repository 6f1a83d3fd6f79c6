package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

private const val BUSY_PERCENT = 95

/** Overloads that an engine which turned cold without warning may show before it is cut back. */
private const val OVERLOADS_OF_A_TURN = 1

/** Measures whether cold targets are spared, from a fresh start and after they turned cold without warning. */
internal object ColdStartScenario : Scenario {
    override val name = "cold-start"

    override val description = "overloads of freshly started targets and of targets that turn cold unseen"

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        val plan = standardFleet(settings) { startsCold = true }
        return withFleet(plan) { fleet ->
            fleet.underLoad(plan.contendingLoads(), settings.seed) { measure(it, fleet, settings) }
        }
    }

    private suspend fun measure(
        generator: LoadGenerator,
        fleet: RunningFleet,
        settings: ScenarioSettings,
    ): ScenarioResult {
        val fresh = secondsUntilFull(fleet, settings.seconds / 2.0)
        val freshOverloads = fleet.overloads()
        fleet.engines
            .first()
            .engine
            .restartCold()
        sampleFor(settings.seconds / 2.0) {}
        val turnOverloads = fleet.overloads() - freshOverloads
        val figures =
            listOf(
                Figure("overloads of freshly started targets", freshOverloads.toDouble(), "overloads"),
                Figure("time until $BUSY_PERCENT % of the slots were busy", fresh, "s"),
                Figure("overloads after one target turned cold unseen", turnOverloads.toDouble(), "overloads"),
                Figure("whole answers", generator.meters.sumOf { it.answers }.toDouble(), "answers"),
            )
        return ScenarioResult(
            scenario = name,
            settings = settings,
            figures = figures + generator.meters.failureFigures(),
            target = "no overload of a freshly started target, at most one when a target turns cold unseen",
            withinTarget =
                freshOverloads == 0 && turnOverloads <= OVERLOADS_OF_A_TURN && fresh < settings.seconds / 2.0,
        )
    }

    /** Time until almost all slots are in use; [limitSeconds] when that never came. */
    private suspend fun secondsUntilFull(fleet: RunningFleet, limitSeconds: Double): Double {
        val start = System.nanoTime()
        var full: Double? = null
        sampleFor(limitSeconds) {
            val busy = fleet.engines.sumOf { it.engine.running }
            val isFull = busy * 100 >= fleet.plan.modelSlots * BUSY_PERCENT
            if (full == null && isFull) full = (System.nanoTime() - start) / 1e9
        }
        return full ?: limitSeconds
    }

    private fun RunningFleet.overloads(): Int = engines.sumOf { it.engine.counts.coldOverloads }
}
