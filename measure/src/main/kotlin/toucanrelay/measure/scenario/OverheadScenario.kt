package toucanrelay.measure.scenario

import kotlinx.coroutines.delay
import toucanrelay.measure.fleet.FleetPlan
import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.fleet.fleetPlan
import toucanrelay.measure.load.Arrivals
import toucanrelay.measure.load.Endpoint
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.load.OrganisationLoad
import toucanrelay.measure.load.OrganisationMeter
import toucanrelay.measure.load.RequestKind
import toucanrelay.measure.load.RequestMix
import toucanrelay.measure.load.milliseconds
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings
import toucanrelay.standins.EngineSettings
import toucanrelay.standins.EngineTiming
import toucanrelay.standins.ModelEngine

private const val NODE_REQUESTS_PER_SECOND = 18.0
private const val NODE_TOKENS_PER_SECOND = 6_200
private const val TOKEN_MILLISECONDS = 34.0
private const val SLOTS = 64
private const val TARGET_ADDED_FIRST_TOKEN_MILLISECONDS = 5.0
private const val TARGET_ADDED_BETWEEN_TOKENS_MILLISECONDS = 1.0
private const val PERCENTILE = 95.0
private const val LOOPBACK = "127.0.0.1"
private val rampCallers = listOf(16, 64, 256)
private const val RAMP_SECONDS = 5.0

/** Measures the latency that entry and agent add to direct calls in the same run, and the capacity of one entry. */
internal object OverheadScenario : Scenario {
    override val name = "overhead"

    override val description = "latency that entry and agent add, and the largest request rate of one entry"

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        val paired = withFleet(overheadPlan(settings, TOKEN_MILLISECONDS)) { PairedRun(it, settings).measure() }
        val ramp =
            withFleet(
                overheadPlan(settings.copy(targets = RAMP_TARGETS), RAMP_TOKEN_MILLISECONDS),
            ) { Ramp(it, settings).measure() }
        return ScenarioResult(
            scenario = name,
            settings = settings.copy(entries = 1, organisations = 1),
            figures = paired.figures + ramp,
            target = "at p95 at most 5 ms more to the first token and 1 ms more between tokens",
            withinTarget =
                paired.addedFirstTokenMilliseconds <= TARGET_ADDED_FIRST_TOKEN_MILLISECONDS &&
                    paired.addedBetweenTokensMilliseconds <= TARGET_ADDED_BETWEEN_TOKENS_MILLISECONDS &&
                    paired.hasNoFailures,
        )
    }

    private fun overheadPlan(settings: ScenarioSettings, tokenMilliseconds: Double): FleetPlan =
        fleetPlan {
            region("uusimaa", "uusimaa-1")
            organisation("organisation-1", waitingRequests = 10_000)
            entries(1)
            engines(MODEL, settings.targets) {
                slots = SLOTS
                coldSlots = SLOTS
                stepMilliseconds = tokenMilliseconds
                stepMillisecondsPerRequest = 0.0
            }
        }.copy(countsLinkBytes = false)

    private class PairedFigures(
        val figures: List<Figure>,
        val addedFirstTokenMilliseconds: Double,
        val addedBetweenTokensMilliseconds: Double,
        val hasNoFailures: Boolean,
    )

    private class PairedRun(
        private val fleet: RunningFleet,
        private val settings: ScenarioSettings,
    ) {
        private val answerTokens = (NODE_TOKENS_PER_SECOND / NODE_REQUESTS_PER_SECOND).toInt()
        private val mix =
            RequestMix(MODEL, listOf(RequestKind(answerTokens = answerTokens - 40..answerTokens + 40)))
        private val load =
            fleet.plan.organisations.single().let {
                OrganisationLoad(it.name, it.key, it.share, Arrivals.OpenLoop(NODE_REQUESTS_PER_SECOND), mix)
            }

        suspend fun measure(): PairedFigures {
            val engines = List(settings.targets) { ModelEngine(directEngine(), fleet.loadVertx) }
            val direct =
                LoadGenerator(
                    fleet.loadVertx,
                    engines.map { Endpoint(LOOPBACK, it.start()) },
                    listOf(load),
                    settings.seed,
                )
            val relayed = LoadGenerator(fleet.loadVertx, fleet.endpoints, listOf(load), settings.seed)
            direct.start()
            relayed.start()
            delay((answerTokens * TOKEN_MILLISECONDS).toLong() + 2_000)
            listOf(direct, relayed).forEach { it.meters.single().resetLatencies() }
            val processor = fleet.entryProcessor.milliseconds()
            val tokens = relayed.meters.single().tokens
            delay(settings.seconds * 1_000L)
            val entryPercent = (fleet.entryProcessor.milliseconds() - processor) / settings.seconds / 10
            val tokensPerSecond = (relayed.meters.single().tokens - tokens) / settings.seconds.toDouble()
            val figures = compare(direct.meters.single(), relayed.meters.single(), entryPercent, tokensPerSecond)
            listOf(direct, relayed).forEach { it.stop(graceMilliseconds = 1) }
            engines.forEach { it.stop() }
            return figures
        }

        private fun directEngine() =
            EngineSettings(
                models = listOf(MODEL),
                slots = SLOTS,
                timing = EngineTiming(stepMilliseconds = TOKEN_MILLISECONDS, stepMillisecondsPerRequest = 0.0),
            )

        private fun compare(
            direct: OrganisationMeter,
            relayed: OrganisationMeter,
            entryPercent: Double,
            tokensPerSecond: Double,
        ): PairedFigures {
            val directFirst = direct.firstTokenMicroseconds().milliseconds(PERCENTILE)
            val relayedFirst = relayed.firstTokenMicroseconds().milliseconds(PERCENTILE)
            val directBetween = direct.betweenTokensMicroseconds().milliseconds(PERCENTILE)
            val relayedBetween = relayed.betweenTokensMicroseconds().milliseconds(PERCENTILE)
            val figures =
                listOf(
                    Figure("first token at p95, straight", directFirst, "ms"),
                    Figure("first token at p95, relayed", relayedFirst, "ms"),
                    Figure("first token at p95, added", relayedFirst - directFirst, "ms"),
                    Figure("between tokens at p95, straight", directBetween, "ms"),
                    Figure("between tokens at p95, relayed", relayedBetween, "ms"),
                    Figure("between tokens at p95, added", relayedBetween - directBetween, "ms"),
                    Figure("tokens relayed", tokensPerSecond, "tokens/s"),
                    Figure("processor time of the entry's own threads, relaying included", entryPercent, "% of a core"),
                ) + listOf(relayed).failureFigures()
            val failures = relayed.failuresByReason.values.sum() + direct.failuresByReason.values.sum()
            return PairedFigures(figures, relayedFirst - directFirst, relayedBetween - directBetween, failures == 0L)
        }
    }

    /** Measures the answer rate with each number of callers in [rampCallers], using one-token answers. */
    private class Ramp(
        private val fleet: RunningFleet,
        private val settings: ScenarioSettings,
    ) {
        suspend fun measure(): List<Figure> {
            val steps = rampCallers.map { measureStep(it) }
            val best = steps.maxBy { it.answersPerSecond }
            return listOf(
                Figure("largest request rate of one entry", best.answersPerSecond, "requests/s"),
                Figure("callers at that rate", best.callers.toDouble(), "callers"),
                Figure("busiest thread of the entry at that rate", best.busiestThreadPercent, "% of a core"),
            )
        }

        private class RampStep(
            val callers: Int,
            val answersPerSecond: Double,
            val busiestThreadPercent: Double,
        )

        private suspend fun measureStep(callers: Int): RampStep {
            val mix = RequestMix(MODEL, listOf(RequestKind(answerTokens = 1..1)))
            val organisation = fleet.plan.organisations.single()
            val load = OrganisationLoad(organisation.name, organisation.key, 1.0, Arrivals.ClosedLoop(callers), mix)
            return fleet.underLoad(listOf(load), settings.seed) { generator ->
                delay(RAMP_WARM_UP_MILLISECONDS)
                val answers = generator.meters.single().answers
                val busiest = fleet.entryProcessor.busiestThreadMilliseconds()
                delay((RAMP_SECONDS * 1_000).toLong())
                RampStep(
                    callers = callers,
                    answersPerSecond = (generator.meters.single().answers - answers) / RAMP_SECONDS,
                    busiestThreadPercent =
                        (fleet.entryProcessor.busiestThreadMilliseconds() - busiest) / RAMP_SECONDS / 10,
                )
            }
        }
    }

    private const val RAMP_TOKEN_MILLISECONDS = 1.0
    private const val RAMP_TARGETS = 8
    private const val RAMP_WARM_UP_MILLISECONDS = 2_000L
}
