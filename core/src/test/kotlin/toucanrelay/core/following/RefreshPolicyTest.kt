package toucanrelay.core.following

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.InstanceId

private fun refreshState(
    own: Long?,
    member: Long? = null,
    rank: Int = 0,
    failures: Int = 0,
    sinceStoreCall: Long? = null,
) = RefreshState(own, member, rank, failures, sinceStoreCall)

/** Simulates a region whose members replicate a table, in 50 ms steps; the store answers immediately if [isStoreUp]. */
private class Region(
    members: Int,
) {
    val ages = Array<Long?>(members) { null }
    val isAlive = BooleanArray(members) { true }
    var isStoreUp = true
    var storeCalls = 0
    private val failures = IntArray(members)
    private val sinceStoreCall = Array<Long?>(members) { null }

    fun run(milliseconds: Long) = repeat((milliseconds / STEP_MILLISECONDS).toInt()) { step() }

    fun maxAgeMilliseconds(): Long = ages.filterIndexed { member, _ -> isAlive[member] }.maxOf { it ?: Long.MAX_VALUE }

    private fun step() {
        val offered = ages.toList()
        ages.indices.filter { isAlive[it] }.forEach { refresh(it, offered) }
        ages.indices.forEach { member ->
            ages[member] = ages[member]?.plus(STEP_MILLISECONDS)
            sinceStoreCall[member] = sinceStoreCall[member]?.plus(STEP_MILLISECONDS)
        }
    }

    private fun refresh(member: Int, offered: List<Long?>) {
        val others = ages.indices.filter { it != member && isAlive[it] }
        val best = others.mapNotNull { offered[it] }.minOrNull()
        val rank = others.count { it < member }
        val state = refreshState(ages[member], best, rank, failures[member], sinceStoreCall[member])
        when (RefreshPolicy.decide(state)) {
            RefreshAction.READ_STORE -> readStore(member)
            RefreshAction.READ_MEMBER -> ages[member] = best
            RefreshAction.WAIT -> Unit
        }
    }

    private fun readStore(member: Int) {
        storeCalls++
        sinceStoreCall[member] = 0
        if (isStoreUp) ages[member] = 0
        failures[member] = if (isStoreUp) 0 else failures[member] + 1
    }

    private companion object {
        const val STEP_MILLISECONDS = 50L
    }
}

class RefreshPolicyTest :
    DescribeSpec({
        describe("a single decision") {
            it("reads from the store without a copy, and from a member as soon as one has a fresher copy") {
                RefreshPolicy.decide(refreshState(null)) shouldBe RefreshAction.READ_STORE
                RefreshPolicy.decide(refreshState(null, member = 100)) shouldBe RefreshAction.READ_MEMBER
                RefreshPolicy.decide(refreshState(600, member = 100, rank = 2)) shouldBe RefreshAction.READ_MEMBER
            }

            it("backs off from a store that has just failed") {
                RefreshPolicy.decide(refreshState(2_000, failures = 3, sinceStoreCall = 100)) shouldBe
                    RefreshAction.WAIT
                RefreshPolicy.decide(refreshState(2_000, failures = 3, sinceStoreCall = 300)) shouldBe
                    RefreshAction.READ_STORE
            }
        }

        describe("a region of twenty members") {
            it("reads from the store little more often than a single member, and every copy stays fresh") {
                val alone = Region(1).apply { run(30_000) }
                val region = Region(20)
                region.run(2_000)
                val before = region.storeCalls
                region.run(30_000)
                (region.storeCalls - before) shouldBeLessThan alone.storeCalls * 3 / 2
                region.maxAgeMilliseconds() shouldBeLessThanOrEqual 1_200
            }

            it("has copies at most two seconds old when two readers fail") {
                val region = Region(20)
                region.run(5_000)
                region.isAlive[0] = false
                region.isAlive[1] = false
                var oldest = 0L
                repeat(60) {
                    region.run(50)
                    oldest = maxOf(oldest, region.maxAgeMilliseconds())
                }
                oldest shouldBeLessThanOrEqual 2_000
            }

            it("calls an unavailable store far less often than independent members would") {
                val region = Region(20)
                region.run(5_000)
                region.isStoreUp = false
                val before = region.storeCalls
                region.run(9_000)
                (region.storeCalls - before) shouldBeLessThan 100
                region.isStoreUp = true
                region.run(1_500)
                region.maxAgeMilliseconds() shouldBeLessThanOrEqual 1_500
            }
        }

        describe("reader ranks") {
            it("are unique and contiguous when each member computes its own") {
                val members = (1..50).map { InstanceId("instance-$it") }
                members.map { ReaderRank.of(it, members) }.sorted() shouldBe (0..49).toList()
            }
        }
    })
