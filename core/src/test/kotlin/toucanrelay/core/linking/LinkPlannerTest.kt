package toucanrelay.core.linking

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import kotlin.random.Random

class LinkPlannerTest :
    DescribeSpec({
        val settings = LinkPlanSettings()
        val planner = LinkPlanner(settings)

        fun region(failureDomain: Int) = RegionId("region-${failureDomain / 3}")

        fun entries(count: Int, failureDomains: Int) =
            List(count) {
                val domain = it % failureDomains
                EntryLocation(InstanceId("entry-$it"), region(domain), FailureDomainId("domain-$domain"))
            }

        fun agents(count: Int, failureDomains: Int, pools: Int) =
            List(count) {
                val domain = it % failureDomains
                val pool = Pool.ofModel("model-${(it / failureDomains) % pools}")
                LinkableAgent(
                    InstanceId("agent-$it"),
                    region(domain),
                    FailureDomainId("domain-$domain"),
                    persistentSetOf(pool),
                )
            }

        fun entriesByAgent(plan: LinkPlan) =
            plan.agentsByEntry.values
                .flatten()
                .groupingBy { it }
                .eachCount()

        describe("a link plan") {
            it("links every entry to every agent at the current fleet size of 3 entries and 14 agents") {
                val plan = planner.plan(entries(3, 3), agents(14, 3, 2))

                plan.size shouldBe 3 * 14
            }

            it("gives each agent its minimum of entries and each entry its minimum of agents of each pool") {
                checkAll(
                    PropTestConfig(seed = 51, iterations = 40),
                    Arb.int(1..60),
                    Arb.int(1..200),
                    Arb.int(1..5),
                ) { entryCount, agentCount, poolCount ->
                    val allEntries = entries(entryCount, 6)
                    val allAgents = agents(agentCount, 6, poolCount)
                    val plan = planner.plan(allEntries, allAgents)
                    val counts = entriesByAgent(plan)
                    val pools = allAgents.groupBy { it.pools.first() }

                    allAgents.forEach {
                        counts.getOrDefault(it.instance, 0) shouldBeGreaterThanOrEqual
                            minOf(settings.minEntriesPerAgent, entryCount)
                    }
                    allEntries.forEach { entry ->
                        val linked = plan.agentsOf(entry.instance)
                        pools.values.forEach { members ->
                            members.count { it.instance in linked } shouldBeGreaterThanOrEqual
                                minOf(settings.minLinksPerPool, members.size)
                        }
                    }
                }
            }

            it("limits each entry's links and prefers near agents at the design size of 170 entries and 1540 agents") {
                val allEntries = entries(170, 23)
                val allAgents = agents(1_540, 23, 11)
                val plan = planner.plan(allEntries, allAgents)
                val bound = planner.maxSelectedLinksPerEntry(allEntries.size, allAgents) + 11 * settings.minLinksPerPool
                val domains = allAgents.associate { it.instance to it.failureDomain }
                val links =
                    allEntries.flatMap { entry ->
                        plan.agentsOf(entry.instance).map {
                            entry.failureDomain to
                                domains[it]
                        }
                    }

                allEntries.forEach { entry ->
                    withClue("${entry.instance}") { plan.agentsOf(entry.instance).size shouldBeLessThanOrEqual bound }
                }
                // Without preference for near agents, 1 in 23 links would stay within the failure domain.
                links.count { it.first == it.second }.toDouble() / links.size shouldBeGreaterThan 3.0 / 23
            }

            it("does not depend on the order of the instances") {
                val allEntries = entries(20, 6)
                val allAgents = agents(60, 6, 2)

                planner.plan(allEntries.shuffled(Random(1)), allAgents.shuffled(Random(2))) shouldBe
                    planner.plan(allEntries, allAgents)
            }

            it("changes few links when one agent is removed") {
                checkAll(PropTestConfig(seed = 52, iterations = 20), Arb.long()) { seed ->
                    val random = Random(seed)
                    val allEntries = entries(60, 6)
                    val allAgents = agents(240, 6, 3)
                    val removed = allAgents.random(random)
                    val before = planner.plan(allEntries, allAgents)
                    val after = planner.plan(allEntries, allAgents - removed)

                    val changed =
                        allEntries.sumOf { entry ->
                            val old = before.agentsOf(entry.instance).toSet() - removed.instance
                            val new = after.agentsOf(entry.instance).toSet()
                            (old - new).size + (new - old).size
                        }
                    // A change of a tenth of all links would amount to a new plan; one agent has 1 in 240.
                    changed shouldBeLessThanOrEqual before.size / 20
                }
            }

            it("changes few links when one entry is removed") {
                checkAll(PropTestConfig(seed = 53, iterations = 20), Arb.long()) { seed ->
                    val random = Random(seed)
                    val allEntries = entries(60, 6)
                    val allAgents = agents(240, 6, 3)
                    val removed = allEntries.random(random)
                    val before = planner.plan(allEntries, allAgents)
                    val after = planner.plan(allEntries - removed, allAgents)

                    val changed =
                        (allEntries - removed).sumOf { entry ->
                            val old = before.agentsOf(entry.instance).toSet()
                            val new = after.agentsOf(entry.instance).toSet()
                            (old - new).size + (new - old).size
                        }
                    // The removed entry's links move to others; besides these, a twentieth of all links may change.
                    changed shouldBeLessThanOrEqual before.agentsOf(removed.instance).size + before.size / 20
                }
            }
        }
    })
