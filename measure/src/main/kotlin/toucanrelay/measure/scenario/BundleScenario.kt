package toucanrelay.measure.scenario

import kotlinx.coroutines.delay
import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings
import toucanrelay.measure.result.SlopePoint
import toucanrelay.measure.result.fitSlope
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.WeightsDocument

private const val TARGET_SECONDS = 8.0
private const val ROLL_OUTS = 3
private const val POLL_MILLISECONDS = 5L
private const val ROLL_OUT_TIMEOUT_SECONDS = 30.0

/** Measures the time until a bundle is in force on every node, at three fleet sizes. */
internal object BundleScenario : Scenario {
    override val name = "bundle"

    override val description = "time until a bundle is in force on every node, by the number of nodes"

    private class SizeRun(
        val nodes: Int,
        val seconds: List<Double>,
        val tableReadsPerSecond: Double,
    )

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        val runs = listOf(1, 2, 4).map { runSize(settings, it) }
        val slowest = runs.flatMap { it.seconds }.max()
        val slope =
            fitSlope("slowest roll-out", "nodes", "s", runs.map { SlopePoint(it.nodes.toDouble(), it.seconds.max()) })
        val reads =
            fitSlope(
                "table reads",
                "nodes",
                "reads/s",
                runs.map { SlopePoint(it.nodes.toDouble(), it.tableReadsPerSecond) },
            )
        return ScenarioResult(
            scenario = name,
            settings = settings,
            figures =
                runs.map { Figure("slowest of $ROLL_OUTS roll-outs on ${it.nodes} nodes", it.seconds.max(), "s") } +
                    runs.map { Figure("table reads with ${it.nodes} nodes", it.tableReadsPerSecond, "reads/s") },
            slopes = listOf(slope, reads),
            target = "in force on every node within 8 s",
            withinTarget = slowest <= TARGET_SECONDS,
        )
    }

    private suspend fun runSize(settings: ScenarioSettings, factor: Int): SizeRun {
        val sized = settings.copy(entries = settings.entries * factor, targets = settings.targets * factor)
        return withFleet(standardFleet(sized)) { fleet ->
            delay(settings.seconds * 100L)
            val readsBefore = fleet.platform.counts.tableReads
            val start = System.nanoTime()
            val seconds = List(ROLL_OUTS) { rollOut(fleet, it) }
            val reads = fleet.platform.counts.tableReads - readsBefore
            SizeRun(fleet.nodes.size, seconds, reads / ((System.nanoTime() - start) / 1e9))
        }
    }

    private suspend fun rollOut(fleet: RunningFleet, number: Int): Double {
        val version = fleet.operator.rollOut { it.changed(number) }
        val acceptedAt = System.nanoTime()
        while (fleet.nodes.any { node ->
                node.bundles.current.value
                    ?.let { it.version < version } != false
            }
        ) {
            if (secondsSince(acceptedAt) > ROLL_OUT_TIMEOUT_SECONDS) return ROLL_OUT_TIMEOUT_SECONDS
            delay(POLL_MILLISECONDS)
        }
        return secondsSince(acceptedAt)
    }

    private fun BundleDocument.changed(number: Int): BundleDocument =
        copy(weights = WeightsDocument(promptToken = 0.1 + number * 0.001))

    private fun secondsSince(nanoseconds: Long) = (System.nanoTime() - nanoseconds) / 1e9
}
