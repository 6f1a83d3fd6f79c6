package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

private const val BUSY_PERCENT = 95

/** Overloads allowed when an engine turns cold unannounced, until its limit is lowered. */
private const val MAX_OVERLOADS_AFTER_TURNING_COLD = 1

/** Measures overloads of cold targets, after a fresh start and after a target turned cold unannounced. */
internal object ColdStartScenario : Scenario {
    override val name = "cold-start"

    override val description = "overloads of freshly started targets and of targets that turn cold unannounced"

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
        val busyAfterSeconds = secondsUntilBusy(fleet, settings.seconds / 2.0)
        val overloadsAfterStart = fleet.overloads()
        fleet.engines
            .first()
            .engine
            .restartCold()
        sampleFor(settings.seconds / 2.0) {}
        val overloadsAfterTurningCold = fleet.overloads() - overloadsAfterStart
        val figures =
            listOf(
                Figure("overloads of freshly started targets", overloadsAfterStart.toDouble(), "overloads"),
                Figure("time until $BUSY_PERCENT % of the slots were busy", busyAfterSeconds, "s"),
                Figure(
                    "overloads after one target turned cold unseen",
                    overloadsAfterTurningCold.toDouble(),
                    "overloads",
                ),
                Figure("whole answers", generator.meters.sumOf { it.answers }.toDouble(), "answers"),
            )
        return ScenarioResult(
            scenario = name,
            settings = settings,
            figures = figures + generator.meters.failureFigures(),
            target = "no overload of a freshly started target, at most one when a target turns cold unseen",
            withinTarget =
                overloadsAfterStart == 0 && overloadsAfterTurningCold <= MAX_OVERLOADS_AFTER_TURNING_COLD &&
                    busyAfterSeconds < settings.seconds / 2.0,
        )
    }

    /** Returns the seconds until [BUSY_PERCENT] % of the slots are in use; [timeoutSeconds] if that does not happen. */
    private suspend fun secondsUntilBusy(fleet: RunningFleet, timeoutSeconds: Double): Double {
        val start = System.nanoTime()
        var busySeconds: Double? = null
        sampleFor(timeoutSeconds) {
            val busy = fleet.engines.sumOf { it.engine.running }
            val isBusy = busy * 100 >= fleet.plan.modelSlots * BUSY_PERCENT
            if (busySeconds == null && isBusy) busySeconds = (System.nanoTime() - start) / 1e9
        }
        return busySeconds ?: timeoutSeconds
    }

    private fun RunningFleet.overloads(): Int = engines.sumOf { it.engine.counts.coldOverloads }
}
