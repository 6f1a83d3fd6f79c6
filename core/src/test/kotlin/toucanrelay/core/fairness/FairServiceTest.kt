package toucanrelay.core.fairness

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import toucanrelay.core.exchange.EntryLocation
import kotlin.math.abs
import kotlin.random.Random

/** Tests the bounds derived in docs/design/fair-service.md. */
class FairServiceTest :
    DescribeSpec({
        // At most seven hops in the tree of six entries, each of a 250 ms round and transit, plus the age of reports.
        val exchangeDelaySeconds = 7 * (0.25 + 0.05) + 0.2
        val seconds = 300

        fun largestCost(loads: List<Load>) = loads.maxOf { it.tokens.endInclusive * maxOf(1.0, it.hintFactor) }

        fun bound(
            loads: List<Load>,
            first: Load,
            second: Load,
            restarts: Int = 0,
        ): Double {
            val overcharge = loads.maxOf { maxOf(1.0, it.hintFactor) }
            val inFlight = overcharge * FairServiceScenario.TOKENS_PER_SECOND * exchangeDelaySeconds
            val slots = FairServiceScenario.SLOTS
            val steady = 2 * inFlight + (4 * slots + 1) * largestCost(loads)
            val perRestart = inFlight + slots * largestCost(loads)
            return (steady + restarts * perRestart) * (1 / first.share + 1 / second.share)
        }

        fun pairs(loads: List<Load>) = loads.indices.flatMap { i -> (0 until i).map { loads[i] to loads[it] } }

        /** Returns the largest change of each pair's service difference over any interval after both have started. */
        fun largestGaps(scenario: FairServiceScenario, loads: List<Load>, disturb: (Long) -> Unit = {}): List<Double> {
            val lowest = HashMap<Pair<Load, Load>, Double>()
            val highest = HashMap<Pair<Load, Load>, Double>()
            scenario.partition { _, _ -> true }
            scenario.fleet.quiesce()
            val origin = scenario.fleet.clock.nowMilliseconds()
            while (scenario.fleet.clock.nowMilliseconds() - origin < seconds * 1_000L) {
                scenario.step()
                val elapsed = scenario.fleet.clock.nowMilliseconds() - origin
                disturb(elapsed)
                pairs(
                    loads,
                ).filter { maxOf(it.first.startsAtMilliseconds, it.second.startsAtMilliseconds) < elapsed }.forEach {
                    val difference = scenario.service(it.first) - scenario.service(it.second)
                    lowest.merge(it, difference, ::minOf)
                    highest.merge(it, difference, ::maxOf)
                }
            }
            return pairs(loads).map { highest.getValue(it) - lowest.getValue(it) }
        }

        suspend fun checkGaps(loads: List<Load>, seed: Long) {
            checkAll(PropTestConfig(seed = seed, iterations = 6), Arb.long()) { random ->
                val gaps = largestGaps(FairServiceScenario(Random(random), loads), loads)
                pairs(loads).zip(gaps).forEach { (pair, gap) ->
                    withClue("$pair") { gap shouldBeLessThanOrEqual bound(loads, pair.first, pair.second) }
                }
            }
        }

        describe("the gap between backlogged organisations stays within the derived bound") {
            data class Case(
                val name: String,
                val loads: List<Load>,
            )

            listOf(
                Case("with equal loads", List(4) { Load("organisation-$it") }),
                Case(
                    "with shares of one to eight",
                    List(4) { Load("organisation-$it", share = (1 shl it).toDouble()) },
                ),
                Case(
                    "when one sends through a single entry",
                    listOf(Load("one", entries = listOf(4)), Load("all")),
                ),
                Case(
                    "when one floods all entries",
                    listOf(Load("flood", waitingPerEntry = 60), Load("few", waitingPerEntry = 1)),
                ),
                Case(
                    "when one sends few long requests and another many short ones",
                    listOf(Load("long", tokens = 200.0..400.0, waitingPerEntry = 1), Load("short", tokens = 2.0..6.0)),
                ),
                Case(
                    "when one organisation's hints are ten times too low",
                    listOf(Load("low", hintFactor = 0.1), Load("true")),
                ),
                Case(
                    "when one organisation's hints are ten times too high",
                    listOf(Load("high", hintFactor = 10.0), Load("true")),
                ),
            ).forEach { (name, loads) -> it(name) { checkGaps(loads, seed = 81) } }

            it("while entries restart with empty state") {
                val loads = listOf(Load("long", tokens = 100.0..200.0), Load("short"), Load("one", entries = listOf(2)))
                checkAll(PropTestConfig(seed = 82, iterations = 6), Arb.long()) { seed ->
                    val random = Random(seed)
                    val scenario = FairServiceScenario(random, loads)
                    var restarts = 0
                    val gaps =
                        largestGaps(scenario, loads) { elapsed ->
                            if (elapsed % 30_000L == 0L) {
                                scenario.restart(random.nextInt(6))
                                restarts++
                            }
                        }
                    pairs(loads).zip(gaps).forEach { (pair, gap) ->
                        gap shouldBeLessThanOrEqual bound(loads, pair.first, pair.second, restarts)
                    }
                }
            }

            it("but not under first come, first served") {
                val loads = listOf(Load("flood", waitingPerEntry = 60), Load("few", waitingPerEntry = 1))
                val scenario = FairServiceScenario(Random(1), loads, Policy.FIRST_COME_FIRST_SERVED)

                largestGaps(scenario, loads).first() shouldBeGreaterThan bound(loads, loads[0], loads[1])
            }
        }

        describe("an organisation that was idle") {
            it("has no credit: it gets no more than its share once it becomes active") {
                val loads = listOf(Load("busy"), Load("late", startsAtMilliseconds = 150_000))
                checkGaps(loads, seed = 83)
            }
        }

        describe("the first service of each organisation") {
            it("comes within the time that serving the bounded lead of all takes, with 22 of 220 backlogged") {
                val loads = List(22) { Load("organisation-$it", share = 1.0 + it % 4) }
                val scenario = FairServiceScenario(Random(5), loads)
                scenario.partition { _, _ -> true }
                scenario.fleet.quiesce()
                val start = scenario.fleet.clock.nowMilliseconds()
                val least = loads.minOf { it.share }
                val lead = bound(loads, loads.first { it.share == least }, loads.first { it.share == least })
                val limit = (lead * loads.sumOf { it.share } / FairServiceScenario.TOKENS_PER_SECOND * 1_000).toLong()

                while (loads.any { scenario.service(it) == 0.0 }) {
                    scenario.step()
                    scenario.fleet.clock.nowMilliseconds() - start shouldBeLessThanOrEqual limit
                }
            }
        }

        describe("regions that rejoin after an hour of partition") {
            it("starve no side: the side served less gets a bounded credit, and service becomes fair again") {
                val loads =
                    listOf(Load("east", entries = listOf(0, 1)), Load("west", entries = listOf(2, 3)), Load("all"))
                val scenario = FairServiceScenario(Random(9), loads)
                val isSameRegion = { from: EntryLocation, to: EntryLocation ->
                    from.region == to.region
                }
                scenario.partition(isSameRegion)
                repeat(3_600 * 20) { scenario.step() }
                scenario.partition { _, _ -> true }

                // The rejoin credit and the window of the floor must pass before all are served alike again.
                val healSeconds = 3 * 20
                var longestWait = 0
                loads.forEach { load ->
                    val before = scenario.service(load)
                    var steps = 0
                    while (scenario.service(load) == before) {
                        scenario.step()
                        steps++
                    }
                    longestWait = maxOf(longestWait, steps / 20)
                }
                repeat(healSeconds * 20) { scenario.step() }
                val from = loads.map { scenario.service(it) }
                repeat(300 * 20) { scenario.step() }
                val gained = loads.mapIndexed { index, load -> scenario.service(load) - from[index] }

                longestWait.toLong() shouldBeLessThanOrEqual healSeconds.toLong()
                pairs(loads).forEach { (first, second) ->
                    abs(gained[loads.indexOf(first)] - gained[loads.indexOf(second)]) shouldBeLessThanOrEqual
                        bound(loads, first, second)
                }
            }
        }
    })
