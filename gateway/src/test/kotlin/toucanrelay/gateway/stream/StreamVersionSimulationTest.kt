package toucanrelay.gateway.stream

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty

private const val RUN_MILLISECONDS = 60_000L
private val SEEDS = 1..60

class StreamVersionSimulationTest :
    DescribeSpec({
        suspend fun simulate(seed: Int, faults: Set<StreamFault>): StreamVersionSimulation =
            StreamVersionSimulation(seed, faults).also { it.run(RUN_MILLISECONDS) }

        describe("streams while versions come and go") {
            val single = StreamFault.entries.map { setOf(it) }
            (listOf(emptySet(), StreamFault.entries.toSet()) + single).forEach { faults ->
                it("hold events of one version, with ${faults.ifEmpty { "no faults" }}") {
                    val joined = SEEDS.associateWith { simulate(it, faults).joined }
                    joined.filterValues { it > 0 }.shouldBeEmpty()
                }
            }

            it("go on mostly where a target of their version serves, although single gateways are killed") {
                val runs = SEEDS.map { simulate(it, setOf(StreamFault.KILL_ONE)) }
                val takenUp = runs.sumOf { it.takenUp }
                withClue("$takenUp streams taken up") { 2 * runs.sumOf { it.continued } shouldBeGreaterThan takenUp }
            }
        }
    })
