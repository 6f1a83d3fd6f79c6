package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.RunningEngine
import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

private const val TARGET_LAST_WORK_SECONDS = 3.0

/** Puts targets on the leaving list, then stops an agent and an entry, all under load. */
internal object LeavingScenario : Scenario {
    override val name = "leaving"

    override val description = "time until the last new work of a leaving target, and requests cut by shutdown"

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        require(settings.targets >= 3) {
            "the scenario requires at least 3 targets: one leaves, one is stopped, the rest keep running"
        }
        require(settings.entries >= 2) { "the scenario requires at least 2 entries: one is stopped" }
        val plan = standardFleet(settings)
        return withFleet(plan) { fleet ->
            fleet.underLoad(plan.contendingLoads().map { it.copy(entries = emptyList()) }, settings.seed) { generator ->
                fleet.awaitFullUtilisation()
                measure(fleet, generator, settings)
            }
        }
    }

    private suspend fun measure(
        fleet: RunningFleet,
        generator: LoadGenerator,
        settings: ScenarioSettings,
    ): ScenarioResult {
        val phaseSeconds = settings.seconds / 3.0
        val leaving = lastWorkSeconds(fleet.engines[0], phaseSeconds) { fleet.markLeaving(fleet.engines[0].agent) }
        val stopped =
            lastWorkSeconds(fleet.engines[1], phaseSeconds) {
                fleet.engines[1]
                    .agent.daemon
                    .stop()
            }
        val entry = fleet.entries.last()
        generator.exclude(fleet.endpoints.last())
        entry.daemon.stop()
        sampleFor(phaseSeconds) {}
        val cut = generator.meters.interruptedCalls()
        return ScenarioResult(
            scenario = name,
            settings = settings,
            figures =
                listOf(
                    Figure("last new work after a target was listed as leaving", leaving, "s"),
                    Figure("last new work after an agent was told to stop", stopped, "s"),
                    Figure("cut requests", cut.toDouble(), "requests"),
                    Figure("whole answers", generator.meters.sumOf { it.answers }.toDouble(), "answers"),
                ) + generator.meters.failureFigures(),
            target = "no new work 3 s after a target starts leaving, and no request cut by shutdown",
            withinTarget = maxOf(leaving, stopped) <= TARGET_LAST_WORK_SECONDS && cut == 0L,
        )
    }

    private suspend fun lastWorkSeconds(
        engine: RunningEngine,
        phaseSeconds: Double,
        leave: suspend () -> Unit,
    ): Double {
        val leaveStartedAt = System.nanoTime()
        leave()
        sampleFor(phaseSeconds) {}
        return ((engine.engine.lastRequestAtNanoseconds - leaveStartedAt) / 1e9).coerceAtLeast(0.0)
    }
}
