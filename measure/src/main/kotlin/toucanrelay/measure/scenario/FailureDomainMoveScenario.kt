package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

private const val TARGET_LAST_WORK_SECONDS = 3.0
private const val RECOVERED_PERCENT = 90

/** Takes a failure domain out of service under load and brings it back. */
internal object FailureDomainMoveScenario : Scenario {
    override val name = "failure-domain-move"

    override val description = "time from take-out to the last new work, cut requests, and service in each phase"

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        val plan = standardFleet(settings)
        return withFleet(plan) { fleet ->
            fleet.underLoad(plan.contendingLoads(), settings.seed) { generator ->
                fleet.awaitFullUtilisation()
                MoveRun(fleet, generator, settings).run()
            }
        }
    }

    private class MoveRun(
        private val fleet: RunningFleet,
        private val generator: LoadGenerator,
        private val settings: ScenarioSettings,
    ) {
        private val phaseSeconds = settings.seconds / 3.0
        private val failureDomain = fleet.plan.failureDomains.last()
        private val moved = fleet.engines.filter { it.plan.failureDomain == failureDomain }
        private val figures = mutableListOf<Figure>()

        suspend fun run(): ScenarioResult {
            servicePhase("before") {}
            fleet.operator.setInService(failureDomain, inService = false)
            val acceptedAt = System.nanoTime()
            servicePhase("while it is out") {}
            val lastRequestAt = moved.maxOf { it.engine.lastRequestAtNanoseconds }
            val lastWorkSeconds = ((lastRequestAt - acceptedAt) / 1e9).coerceAtLeast(0.0)
            val backSeconds = bringBack()
            return result(lastWorkSeconds, backSeconds)
        }

        private suspend fun bringBack(): Double {
            fleet.operator.setInService(failureDomain, inService = true)
            val acceptedAt = System.nanoTime()
            val slots = moved.sumOf { it.plan.slots }
            var recoveredSeconds: Double? = null
            servicePhase("after it came back") {
                val isRecovered = moved.sumOf { it.engine.running } * 100 >= slots * RECOVERED_PERCENT
                if (recoveredSeconds == null && isRecovered) recoveredSeconds = (System.nanoTime() - acceptedAt) / 1e9
            }
            return recoveredSeconds ?: phaseSeconds
        }

        private suspend fun servicePhase(label: String, sample: () -> Unit) {
            val before = generator.meters.map { it.serviceUnits }
            val utilisation = UtilisationMeter(fleet, generator)
            sampleFor(phaseSeconds) {
                utilisation.sample()
                sample()
            }
            figures +=
                generator.meters.zip(before) { meter, units ->
                    val rate = (meter.serviceUnits - units) / phaseSeconds / meter.share
                    Figure("${meter.organisation} $label", rate, "units per share and s")
                }
            figures += Figure("busy part of all slots $label", utilisation.percent, "%")
        }

        private fun result(lastWorkSeconds: Double, backSeconds: Double): ScenarioResult {
            val cut = generator.meters.interruptedCalls()
            val moveFigures =
                listOf(
                    Figure("last new work after take-out", lastWorkSeconds, "s"),
                    Figure("cut requests", cut.toDouble(), "requests"),
                    Figure("time until $RECOVERED_PERCENT % of its slots were busy again", backSeconds, "s"),
                    Figure(
                        "overloads of cold targets",
                        moved.sumOf { it.engine.counts.coldOverloads }.toDouble(),
                        "overloads",
                    ),
                )
            return ScenarioResult(
                scenario = name,
                settings = settings,
                figures = moveFigures + figures + generator.meters.failureFigures(),
                target = "no new work 3 s after take-out, no cut request, and the failure domain gets work again",
                withinTarget = lastWorkSeconds <= TARGET_LAST_WORK_SECONDS && cut == 0L && backSeconds < phaseSeconds,
            )
        }
    }
}
