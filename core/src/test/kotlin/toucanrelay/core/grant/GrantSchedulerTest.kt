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
private const val LIFE_MILLISECONDS = 500L

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
            it("grants to the organisation with the least virtual time, by its greatest report") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.state(first, listOf(demand("mill", virtualTime = 5.0), demand("depot", virtualTime = 7.0)))
                scheduler.state(second, listOf(demand("mill", virtualTime = 9.0)))

                scheduler.next(pools, LIFE_MILLISECONDS)?.organisation shouldBe OrganisationId("depot")
            }

            it("grants within an organisation to the head that waits longest, counting the time since the report") {
                val clock = ManualClock()
                val scheduler = GrantScheduler(clock)
                scheduler.state(first, listOf(demand("mill", headWaitingMilliseconds = 50)))
                clock.advance(100)
                scheduler.state(second, listOf(demand("mill", headWaitingMilliseconds = 100)))

                scheduler.next(pools, LIFE_MILLISECONDS)?.link shouldBe first
            }

            it("serves first come first when told to") {
                val scheduler = GrantScheduler(ManualClock(), FirstComeFirstServed)
                scheduler.state(first, listOf(demand("mill", virtualTime = 0.0, headWaitingMilliseconds = 10)))
                scheduler.state(second, listOf(demand("depot", virtualTime = 99.0, headWaitingMilliseconds = 20)))

                scheduler.next(pools, LIFE_MILLISECONDS)?.organisation shouldBe OrganisationId("depot")
            }

            it("adds what it granted to the virtual time until a report covers it") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.state(
                    first,
                    listOf(demand("mill", waiting = 9, headCost = 10.0), demand("depot", waiting = 9)),
                )

                val order = List(4) { scheduler.next(pools, LIFE_MILLISECONDS)?.organisation?.value }

                order shouldBe listOf("depot", "mill", "depot", "mill")
            }

            it("grants nothing for pools that the target does not serve") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.state(first, listOf(demand("mill")))

                scheduler.next(setOf(Pool.ofModel("audit")), LIFE_MILLISECONDS).shouldBeNull()
            }

            it("does not grant again what an entry declined until it reports anew") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.state(first, listOf(demand("mill")))
                val grant = scheduler.next(pools, LIFE_MILLISECONDS).shouldNotBeNull()

                scheduler.declined(grant.id, first)

                scheduler.outstanding shouldBe 0
                scheduler.next(pools, LIFE_MILLISECONDS).shouldBeNull()
                scheduler.state(first, listOf(demand("mill")))
                scheduler.next(pools, LIFE_MILLISECONDS).shouldNotBeNull()
            }

            it("takes an expired grant back and grants it anew") {
                val clock = ManualClock()
                val scheduler = GrantScheduler(clock)
                scheduler.state(first, listOf(demand("mill")))
                val grant = scheduler.next(pools, LIFE_MILLISECONDS).shouldNotBeNull()
                clock.advance(LIFE_MILLISECONDS)

                scheduler.expire() shouldBe 1
                scheduler.served(grant.id, advice, grant.organisation).shouldBeNull()
                scheduler.next(pools, LIFE_MILLISECONDS).shouldNotBeNull()
            }

            it("honours a grant once, and only for what it was given") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.state(first, listOf(demand("mill")))
                val grant = scheduler.next(pools, LIFE_MILLISECONDS).shouldNotBeNull()

                scheduler.served(grant.id, advice, OrganisationId("depot")).shouldBeNull()
                scheduler.served(grant.id, advice, grant.organisation) shouldBe 0
                scheduler.served(grant.id, advice, grant.organisation).shouldBeNull()
            }

            it("drops demand and grants of a closed link") {
                val scheduler = GrantScheduler(ManualClock())
                scheduler.state(first, listOf(demand("mill", waiting = 5)))
                scheduler.next(pools, LIFE_MILLISECONDS)

                scheduler.forget(first)

                scheduler.outstanding shouldBe 0
                scheduler.hasDemand(pools) shouldBe false
            }

            it("never has more grants out for an organisation at an entry than it stated requests") {
                checkAll(PropTestConfig(seed = 4301), Arb.list(Arb.int(0..5), 1..200)) { steps ->
                    val clock = ManualClock()
                    val scheduler = GrantScheduler(clock)
                    val out = mutableListOf<Grant>()
                    var stated = 0
                    steps.forEach { step ->
                        when (step) {
                            0 -> scheduler.state(first, listOf(demand("mill", waiting = 3))).also { stated = 3 }
                            1 -> out.removeFirstOrNull()?.let { scheduler.served(it.id, advice, it.organisation) }
                            2 -> out.removeFirstOrNull()?.let { scheduler.declined(it.id, first) }
                            else -> scheduler.next(pools, LIFE_MILLISECONDS)?.let { out += it }
                        }
                        (scheduler.outstanding <= stated) shouldBe true
                        scheduler.outstanding shouldBe out.size
                    }
                }
            }

            it("keeps the gap of virtual times within the largest grant while all are backlogged") {
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
                            scheduler.state(LinkId(index.toLong()), listOf(report))
                        }
                        val grant = scheduler.next(pools, LIFE_MILLISECONDS).shouldNotBeNull()
                        scheduler.served(grant.id, advice, grant.organisation)
                        val index = grant.link.value.toInt()
                        served[index] = served.getValue(index) + cost.toDouble() / shares[index]
                    }
                    val largest = cost.toDouble() / shares.min()
                    (served.values.max() - served.values.min() <= largest + 1e-6) shouldBe true
                }
            }
        }

        describe("the split of free slots") {
            it("adds up to what is free and differs by one at most") {
                checkAll(PropTestConfig(seed = 4303), Arb.int(0..100), Arb.int(1..40)) { free, links ->
                    val split = splitFreeSlots(free, (1..links).toList())
                    split.values.sum() shouldBe free
                    (split.values.max() - split.values.min() <= 1) shouldBe true
                }
            }
        }
    })
