package toucanrelay.core.grant

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.time.ManualClock

private val advice = Pool.ofModel("advice")
private val pools = setOf(advice)
private const val LIFETIME_MILLISECONDS = 500L

private fun demand(
    organisation: String,
    waiting: Int = 1,
    virtualTime: Double = 0.0,
    headWaitingMilliseconds: Long = 0,
    headCost: Double = 10.0,
    share: Double = 1.0,
) = OrganisationDemand(
    advice,
    OrganisationId(organisation),
    waiting,
    virtualTime,
    headCost,
    share,
    headWaitingMilliseconds,
)

@OptIn(ExperimentalKotest::class)
class GrantSchedulerTest :
    DescribeSpec({
        val first = LinkId(1)
        val second = LinkId(2)

        describe("the grant scheduler") {
            it("grants to the organisation with the least virtual time, taking the greatest report of each") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.updateDemand(
                    first,
                    listOf(demand("mill", virtualTime = 5.0), demand("depot", virtualTime = 7.0)),
                )
                scheduler.updateDemand(second, listOf(demand("mill", virtualTime = 9.0)))

                scheduler.grantNext(pools, LIFETIME_MILLISECONDS)?.organisation shouldBe OrganisationId("depot")
            }

            it(
                "grants within an organisation to the longest waiting request, including the time since the report",
            ) {
                val clock = ManualClock()
                val scheduler = GrantScheduler(clock)
                scheduler.updateDemand(first, listOf(demand("mill", headWaitingMilliseconds = 50)))
                clock.advance(100)
                scheduler.updateDemand(second, listOf(demand("mill", headWaitingMilliseconds = 100)))

                scheduler.grantNext(pools, LIFETIME_MILLISECONDS)?.link shouldBe first
            }

            it("serves in order of arrival under the first-come-first-served policy") {
                val scheduler = GrantScheduler(ManualClock(), FirstComeFirstServed)
                scheduler.updateDemand(first, listOf(demand("mill", virtualTime = 0.0, headWaitingMilliseconds = 10)))
                scheduler.updateDemand(
                    second,
                    listOf(demand("depot", virtualTime = 99.0, headWaitingMilliseconds = 20)),
                )

                scheduler.grantNext(pools, LIFETIME_MILLISECONDS)?.organisation shouldBe OrganisationId("depot")
            }

            it("adds granted cost to the virtual time until a report includes it") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.updateDemand(
                    first,
                    listOf(demand("mill", waiting = 9, headCost = 10.0), demand("depot", waiting = 9)),
                )

                val order = List(4) { scheduler.grantNext(pools, LIFETIME_MILLISECONDS)?.organisation?.value }

                order shouldBe listOf("depot", "mill", "depot", "mill")
            }

            it("grants nothing for pools that the target does not serve") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.updateDemand(first, listOf(demand("mill")))

                scheduler.grantNext(setOf(Pool.ofModel("audit")), LIFETIME_MILLISECONDS).shouldBeNull()
            }

            it("does not repeat a declined grant until the entry reports again") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.updateDemand(first, listOf(demand("mill")))
                val grant = scheduler.grantNext(pools, LIFETIME_MILLISECONDS).shouldNotBeNull()

                scheduler.decline(grant.id, first)

                scheduler.outstanding shouldBe 0
                scheduler.grantNext(pools, LIFETIME_MILLISECONDS).shouldBeNull()
                scheduler.updateDemand(first, listOf(demand("mill")))
                scheduler.grantNext(pools, LIFETIME_MILLISECONDS).shouldNotBeNull()
            }

            it("revokes an expired grant and grants the slot again") {
                val clock = ManualClock()
                val scheduler = GrantScheduler(clock)
                scheduler.updateDemand(first, listOf(demand("mill")))
                val grant = scheduler.grantNext(pools, LIFETIME_MILLISECONDS).shouldNotBeNull()
                clock.advance(LIFETIME_MILLISECONDS)

                scheduler.expire() shouldBe 1
                scheduler.consume(grant.id, advice, grant.organisation).shouldBeNull()
                scheduler.grantNext(pools, LIFETIME_MILLISECONDS).shouldNotBeNull()
            }

            it("consumes a grant only once, and only for its own pool and organisation") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.updateDemand(first, listOf(demand("mill")))
                val grant = scheduler.grantNext(pools, LIFETIME_MILLISECONDS).shouldNotBeNull()

                scheduler.consume(grant.id, advice, OrganisationId("depot")).shouldBeNull()
                scheduler.consume(grant.id, advice, grant.organisation) shouldBe 0
                scheduler.consume(grant.id, advice, grant.organisation).shouldBeNull()
            }

            it("removes demand and grants of a closed link") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.updateDemand(first, listOf(demand("mill", waiting = 5)))
                scheduler.grantNext(pools, LIFETIME_MILLISECONDS)

                scheduler.removeLink(first)

                scheduler.outstanding shouldBe 0
                scheduler.hasDemand(pools) shouldBe false
            }

            it("never has more outstanding grants for an organisation at an entry than reported requests") {
                checkAll(PropTestConfig(seed = 4301), Arb.list(Arb.int(0..5), 1..200)) { steps ->
                    val clock = ManualClock()
                    val scheduler = GrantScheduler(clock)
                    val grants = mutableListOf<Grant>()
                    var waiting = 0
                    steps.forEach { step ->
                        when (step) {
                            0 -> scheduler.updateDemand(first, listOf(demand("mill", waiting = 3))).also { waiting = 3 }
                            1 -> grants.removeFirstOrNull()?.let { scheduler.consume(it.id, advice, it.organisation) }
                            2 -> grants.removeFirstOrNull()?.let { scheduler.decline(it.id, first) }
                            else -> scheduler.grantNext(pools, LIFETIME_MILLISECONDS)?.let { grants += it }
                        }
                        (scheduler.outstanding <= waiting) shouldBe true
                        scheduler.outstanding shouldBe grants.size
                    }
                }
            }

            it("keeps virtual times within the largest grant of each other while all organisations are backlogged") {
                checkAll(PropTestConfig(seed = 4302), Arb.list(Arb.int(1..20), 2..8), Arb.int(1..30)) { shares, cost ->
                    val scheduler = GrantScheduler(ManualClock())
                    val served = shares.indices.associateWith { 0.0 }.toMutableMap()
                    repeat(300) {
                        shares.forEachIndexed { index, share ->
                            val report =
                                demand(
                                    "o$index",
                                    1,
                                    served.getValue(index),
                                    headCost = cost.toDouble(),
                                    share = share.toDouble(),
                                )
                            scheduler.updateDemand(LinkId(index.toLong()), listOf(report))
                        }
                        val grant = scheduler.grantNext(pools, LIFETIME_MILLISECONDS).shouldNotBeNull()
                        scheduler.consume(grant.id, advice, grant.organisation)
                        val index = grant.link.value.toInt()
                        served[index] = served.getValue(index) + cost.toDouble() / shares[index]
                    }
                    val largest = cost.toDouble() / shares.min()
                    (served.values.max() - served.values.min() <= largest + 1e-6) shouldBe true
                }
            }
        }

        describe("the split of free slots") {
            it("adds up to the free slots, with shares that differ by at most one") {
                checkAll(PropTestConfig(seed = 4303), Arb.int(0..100), Arb.int(1..40)) { free, links ->
                    val split = splitFreeSlots(free, (1..links).toList())
                    split.values.sum() shouldBe free
                    (split.values.max() - split.values.min() <= 1) shouldBe true
                }
            }
        }
    })
