package toucanrelay.measure.scenario

import kotlinx.coroutines.delay
import toucanrelay.measure.fleet.RunningFleet
import toucanrelay.measure.load.Arrivals
import toucanrelay.measure.load.OrganisationLoad
import toucanrelay.measure.load.RequestKind
import toucanrelay.measure.load.RequestMix
import toucanrelay.measure.metrics.MetricsReader
import toucanrelay.measure.result.Figure
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings
import toucanrelay.measure.result.Slope
import toucanrelay.measure.result.SlopePoint
import toucanrelay.measure.result.fitSlope

private const val SETTLING_MILLISECONDS = 4_000L
private const val MIN_CALLERS = 4
private const val TARGET_BYTES_PER_SECOND = 6_000.0
private const val TARGET_PROCESSOR_PERCENT = 3.8

/** Measures control traffic and processor time of an idle fleet, by number of entries, targets and organisations. */
internal object ControlTrafficScenario : Scenario {
    override val name = "control-traffic"

    override val description = "control bytes and processor time of a node, by entries, targets and organisations"

    private class SizeRun(
        val settings: ScenarioSettings,
        val entryBytesPerSecond: Double,
        val agentBytesPerSecond: Double,
        val processorPercent: Double,
        val tableReadsPerSecond: Double,
        val listReadsPerSecond: Double,
    )

    override suspend fun run(settings: ScenarioSettings): ScenarioResult {
        measure(settings.copy(seconds = 1)) // Warms up the JVM: the first fleet of a process runs interpreted code.
        val base = measure(settings)
        val byEntries = listOf(base) + listOf(2, 4).map { measure(settings.copy(entries = settings.entries * it)) }
        val byTargets = listOf(base) + listOf(2, 4).map { measure(settings.copy(targets = settings.targets * it)) }
        val byOrganisations =
            listOf(base) + listOf(4, 16).map { measure(settings.copy(organisations = settings.organisations * it)) }
        val loaded = listOf(1, 4, 16).map { measureLoaded(settings.copy(organisations = settings.organisations * it)) }
        val runs = (byEntries + byTargets + byOrganisations).distinct()
        val maxBytesPerSecond = runs.maxOf { maxOf(it.entryBytesPerSecond, it.agentBytesPerSecond) }
        val maxProcessorPercent = runs.maxOf { it.processorPercent }
        return ScenarioResult(
            scenario = name,
            settings = settings,
            figures =
                listOf(
                    Figure("bytes of an entry", base.entryBytesPerSecond, "B/s"),
                    Figure("bytes of an agent", base.agentBytesPerSecond, "B/s"),
                    Figure("processor time of a node, all roles", base.processorPercent, "% of a core"),
                    Figure("most bytes of a node at any size", maxBytesPerSecond, "B/s"),
                    Figure(
                        "most exchange and demand bytes of an entry under load",
                        loaded.maxOf { it.bytesPerSecond },
                        "B/s",
                    ),
                    Figure("most processor time of a node at any size", maxProcessorPercent, "% of a core"),
                ),
            slopes =
                slopes("entries", byEntries) { it.entries } +
                    slopes("targets", byTargets) { it.targets } +
                    slopes("organisations", byOrganisations) { it.organisations } +
                    loadedSlopes(loaded),
            target = "at most 6 KB/s and 3.8 % of a core for each node, idle, and 6 KB/s under load",
            withinTarget =
                maxOf(
                    maxBytesPerSecond,
                    loaded.maxOf { it.bytesPerSecond },
                ) <= TARGET_BYTES_PER_SECOND && maxProcessorPercent <= TARGET_PROCESSOR_PERCENT,
        )
    }

    private fun slopes(size: String, runs: List<SizeRun>, sizeOf: (ScenarioSettings) -> Int): List<Slope> {
        fun slope(figure: String, unit: String, value: (SizeRun) -> Double) =
            fitSlope(figure, size, unit, runs.map { SlopePoint(sizeOf(it.settings).toDouble(), value(it)) })
        return listOf(
            slope("bytes of an entry", "B/s") { it.entryBytesPerSecond },
            slope("bytes of an agent", "B/s") { it.agentBytesPerSecond },
            slope("processor time of a node", "% of a core") { it.processorPercent },
            slope("table reads of all", "reads/s") { it.tableReadsPerSecond },
            slope("list reads of all", "reads/s") { it.listReadsPerSecond },
        )
    }

    /** Control bytes per second of an entry while every organisation is backlogged, by kind. */
    private class LoadedRun(
        val organisations: Int,
        val exchangeBytesPerSecond: Double,
        val demandBytesPerSecond: Double,
    ) {
        val bytesPerSecond: Double
            get() = exchangeBytesPerSecond + demandBytesPerSecond
    }

    private fun loadedSlopes(runs: List<LoadedRun>): List<Slope> =
        listOf(
            fitSlope(
                "exchange bytes of an entry, both ways",
                "backlogged organisations",
                "B/s",
                runs.map { SlopePoint(it.organisations.toDouble(), it.exchangeBytesPerSecond) },
            ),
            fitSlope(
                "demand bytes of an entry, sent",
                "backlogged organisations",
                "B/s",
                runs.map { SlopePoint(it.organisations.toDouble(), it.demandBytesPerSecond) },
            ),
        )

    private suspend fun measureLoaded(settings: ScenarioSettings): LoadedRun {
        val plan = standardFleet(settings)
        val mix = RequestMix(MODEL, listOf(RequestKind()))
        val callers = maxOf(plan.modelSlots * 2 / plan.organisations.size, MIN_CALLERS)
        val loads =
            plan.organisations.map { OrganisationLoad(it.name, it.key, it.share, Arrivals.ClosedLoop(callers), mix) }
        return withFleet(plan) { fleet ->
            fleet.underLoad(loads, settings.seed) {
                delay(SETTLING_MILLISECONDS)
                val exchange = entryCounter(fleet, "toucanrelay_fleet_control_bytes_total")
                val demand = entryCounter(fleet, "toucanrelay_entry_demand_bytes_total")
                delay(settings.seconds * 1_000L)
                LoadedRun(
                    organisations = settings.organisations,
                    exchangeBytesPerSecond =
                        (entryCounter(fleet, "toucanrelay_fleet_control_bytes_total") - exchange) / settings.seconds,
                    demandBytesPerSecond =
                        (entryCounter(fleet, "toucanrelay_entry_demand_bytes_total") - demand) / settings.seconds,
                )
            }
        }
    }

    private fun entryCounter(fleet: RunningFleet, name: String): Double =
        MetricsReader().sum(name, fleet.entryOperatorsEndpoints) / fleet.entries.size

    private suspend fun measure(settings: ScenarioSettings): SizeRun =
        withFleet(standardFleet(settings)) { fleet ->
            delay(SETTLING_MILLISECONDS)
            val before = CounterSnapshot(fleet)
            delay(settings.seconds * 1_000L)
            CounterSnapshot(fleet).since(before, settings)
        }

    private class CounterSnapshot(
        private val fleet: RunningFleet,
    ) {
        private val takenAtNanoseconds = System.nanoTime()
        private val agentBytes = fleet.engines.sumOf { it.agent.linkBytes }
        private val exchangeBytes = fleet.entries.sumOf { it.linkBytes }
        private val processor = fleet.processor.milliseconds()
        private val counts = fleet.platform.counts

        /** Returns the rates since [before]. An exchange byte counts for both entries that its link joins. */
        fun since(before: CounterSnapshot, settings: ScenarioSettings): SizeRun {
            val seconds = (takenAtNanoseconds - before.takenAtNanoseconds) / 1e9
            val agentBytesPerSecond = (agentBytes - before.agentBytes) / seconds
            val exchangeBytesPerSecond = (exchangeBytes - before.exchangeBytes) / seconds
            return SizeRun(
                settings = settings,
                entryBytesPerSecond = (agentBytesPerSecond + 2 * exchangeBytesPerSecond) / settings.entries,
                agentBytesPerSecond = agentBytesPerSecond / settings.targets,
                processorPercent = (processor - before.processor) / seconds / 10 / fleet.nodes.size,
                tableReadsPerSecond = (counts.tableReads - before.counts.tableReads) / seconds,
                listReadsPerSecond = (counts.listReads - before.counts.listReads) / seconds,
            )
        }
    }
}
