package toucanrelay.core.exchange

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.RegionId
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

class ExchangeTreeTest :
    DescribeSpec({
        fun entries(
            random: Random,
            count: Int,
            failureDomains: Int,
            regions: Int,
        ) = List(count) {
            val failureDomain = random.nextInt(failureDomains)
            EntryLocation(
                InstanceId("entry-${random.nextLong()}"),
                RegionId("region-${failureDomain % regions}"),
                FailureDomainId("domain-$failureDomain"),
            )
        }

        fun pathToRoot(tree: ExchangeTree, entry: EntryLocation) =
            generateSequence(entry) { tree.parentOf(it) }.take(2_000)

        describe("an exchange tree") {
            it("connects any set of entries under one root") {
                checkAll(PropTestConfig(seed = 41, iterations = 200), Arb.long(), Arb.int(1..120)) { seed, count ->
                    val members = entries(Random(seed), count, failureDomains = 9, regions = 4)
                    val tree = ExchangeTree(members.shuffled(Random(seed)))

                    members.filter { tree.parentOf(it) == null } shouldHaveSize 1
                    members.map { pathToRoot(tree, it).last() }.distinct() shouldHaveSize 1
                }
            }

            it("gives each entry a parent of lower rank, so that different views form no cycle") {
                checkAll(PropTestConfig(seed = 42, iterations = 200), Arb.long(), Arb.int(2..120)) { seed, count ->
                    val random = Random(seed)
                    val members = entries(random, count, failureDomains = 9, regions = 4)
                    val parents =
                        members.associateWith { entry ->
                            ExchangeTree(members.filter { it == entry || random.nextDouble() < 0.7 }).parentOf(entry)
                        }

                    members.forEach { entry ->
                        generateSequence(entry) { parents[it] }.take(count + 1).count() shouldBeLessThanOrEqual count
                    }
                }
            }

            it("has one connection per failure domain and region beyond the first") {
                val members = entries(Random(7), count = 850, failureDomains = 23, regions = 7)
                val tree = ExchangeTree(members)

                members.count { entry -> tree.parentOf(entry)?.let { it.region != entry.region } == true } shouldBe 6
                members.count { entry ->
                    tree.parentOf(entry)?.let { it.failureDomain != entry.failureDomain } == true
                } shouldBe 22
            }

            it("stays within the bounds on degree and depth with 850 entries, 23 failure domains and 7 regions") {
                val fanOut = ExchangeTree.DEFAULT_FAN_OUT
                val members = entries(Random(8), count = 850, failureDomains = 23, regions = 7)
                val tree = ExchangeTree(members)
                val largestFailureDomain = members.groupBy { it.failureDomain }.values.maxOf { it.size }

                // A level consists of the root, its only child, and a heap below that child.
                fun levelDepth(size: Int) = 1 + ceil(ln(size * (fanOut - 1.0)) / ln(fanOut.toDouble())).toInt()
                val depthBound = levelDepth(largestFailureDomain) + levelDepth(4) + levelDepth(7)
                val childrenBound = 2 + fanOut

                members.maxOf { pathToRoot(tree, it).count() - 1 } shouldBeLessThanOrEqual depthBound
                members.mapNotNull { tree.parentOf(it) }.groupingBy { it }.eachCount().forEach { (entry, children) ->
                    withClue("$entry") { children shouldBeLessThanOrEqual childrenBound }
                }
                depthBound shouldBeLessThan 20
            }
        }
    })
