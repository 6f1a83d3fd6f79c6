package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.metrics.MetricsReader
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

private const val TARGET_PERCENT = 97.0

/** Measures the utilisation of the slots while requests wait. */
internal class UtilisationMeter(
    private val fleet: RunningFleet,
    private val generator: LoadGenerator,
) {
    private var lastBusyMilliseconds = fleet.busySlotMilliseconds
    private var lastNanoseconds = System.nanoTime()
    private var wasWaiting = false
    private var busyMilliseconds = 0.0
    private var availableMilliseconds = 0.0

    /** Utilisation of the slots while requests waited, in percent; 100 if none waited. */
    val percent: Double
        get() = if (availableMilliseconds == 0.0) 100.0 else busyMilliseconds / availableMilliseconds * 100

    /** Time during which requests waited, in seconds. */
    val waitingSeconds: Double
        get() = availableMilliseconds / fleet.plan.modelSlots / 1_000

    /** Takes a sample; the time since the previous one counts if requests waited at both. */
    fun sample() {
        val now = System.nanoTime()
        val busyNowMilliseconds = fleet.busySlotMilliseconds
        val isWaiting = generator.outstanding > fleet.engines.sumOf { it.engine.running }
        if (isWaiting && wasWaiting) {
            busyMilliseconds += busyNowMilliseconds - lastBusyMilliseconds
            availableMilliseconds += (now - lastNanoseconds) / 1e6 * fleet.plan.modelSlots
        }
        wasWaiting = isWaiting
        lastBusyMilliseconds = busyNowMilliseconds
        lastNanoseconds = now
    }
}

/** Measures the utilisation of the slots while requests wait. */
internal object UtilisationScenario : Scenario {
    override val name = "utilisation"

    override val description = "utilisation of the slots while any request waits"

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        val plan = standardFleet(settings)
        return withFleet(plan) { fleet ->
            fleet.underLoad(plan.contendingLoads(), settings.seed) { generator ->
                val fullUtilisationSeconds = fleet.awaitFullUtilisation()
                val meter = UtilisationMeter(fleet, generator)
                sampleFor(settings.seconds.toDouble()) { meter.sample() }
                result(settings, meter, generator, limitFigures(fleet, fullUtilisationSeconds))
            }
        }
    }

    private fun limitFigures(fleet: RunningFleet, fullUtilisationSeconds: Double): List<Figure> {
        val admitted = MetricsReader().sum("toucanrelay_agent_limit", fleet.agentOperatorsEndpoints)
        return listOf(
            Figure("slots of the targets", fleet.plan.modelSlots.toDouble(), "slots"),
            Figure("slots that agents admitted at the end", admitted, "slots"),
            Figure(
                "time until the slots were first in use, at most $FULL_UTILISATION_TIMEOUT_SECONDS",
                fullUtilisationSeconds,
                "s",
            ),
        )
    }

    private fun result(
        settings: ScenarioSettings,
        meter: UtilisationMeter,
        generator: LoadGenerator,
        limits: List<Figure>,
    ) = ScenarioResult(
        scenario = name,
        settings = settings,
        figures =
            listOf(
                Figure("busy part of the slots while work waited", meter.percent, "%"),
                Figure("time during which work waited", meter.waitingSeconds, "s"),
                Figure("whole answers", generator.meters.sumOf { it.answers }.toDouble(), "answers"),
            ) + limits + generator.meters.failureFigures(),
        target = "at least 97 % while any work waits",
        withinTarget = meter.percent >= TARGET_PERCENT && meter.waitingSeconds > 0,
    )
}
