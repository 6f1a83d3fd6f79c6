package toucanrelay.core.following

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import toucanrelay.core.identity.InstanceId

private fun knowledge(
    own: Long?,
    member: Long? = null,
    rank: Int = 0,
    failures: Int = 0,
    sinceCall: Long? = null,
) = TableKnowledge(own, member, rank, failures, sinceCall)

/** Members of one region that follow one table, in steps of 50 ms; the store answers at once while [isStoreUp]. */
private class Region(
    members: Int,
) {
    val ages = Array<Long?>(members) { null }
    val isAlive = BooleanArray(members) { true }
    var isStoreUp = true
    var storeCalls = 0
    private val failures = IntArray(members)
    private val sinceCall = Array<Long?>(members) { null }

    fun run(milliseconds: Long) = repeat((milliseconds / STEP_MILLISECONDS).toInt()) { step() }

    fun oldest(): Long = ages.filterIndexed { member, _ -> isAlive[member] }.maxOf { it ?: Long.MAX_VALUE }

    private fun step() {
        val offered = ages.toList()
        ages.indices.filter { isAlive[it] }.forEach { look(it, offered) }
        ages.indices.forEach { member ->
            ages[member] = ages[member]?.plus(STEP_MILLISECONDS)
            sinceCall[member] = sinceCall[member]?.plus(STEP_MILLISECONDS)
        }
    }

    private fun look(member: Int, offered: List<Long?>) {
        val others = ages.indices.filter { it != member && isAlive[it] }
        val best = others.mapNotNull { offered[it] }.minOrNull()
        val rank = others.count { it < member }
        val known = knowledge(ages[member], best, rank, failures[member], sinceCall[member])
        when (LookPolicy.decide(known)) {
            NextLook.STORE -> askStore(member)
            NextLook.MEMBER -> ages[member] = best
            NextLook.LATER -> Unit
        }
    }

    private fun askStore(member: Int) {
        storeCalls++
        sinceCall[member] = 0
        if (isStoreUp) ages[member] = 0
        failures[member] = if (isStoreUp) 0 else failures[member] + 1
    }

    private companion object {
        const val STEP_MILLISECONDS = 50L
    }
}

class LookPolicyTest :
    DescribeSpec({
        describe("a single decision") {
            it("asks the store while nothing is known, and a member as soon as one knows more") {
                LookPolicy.decide(knowledge(null)) shouldBe NextLook.STORE
                LookPolicy.decide(knowledge(null, member = 100)) shouldBe NextLook.MEMBER
                LookPolicy.decide(knowledge(600, member = 100, rank = 2)) shouldBe NextLook.MEMBER
            }

            it("leaves a store alone for a while that has just failed") {
                LookPolicy.decide(knowledge(2_000, failures = 3, sinceCall = 100)) shouldBe NextLook.LATER
                LookPolicy.decide(knowledge(2_000, failures = 3, sinceCall = 300)) shouldBe NextLook.STORE
            }
        }

        describe("a region of twenty members") {
            it("reads from the store little more often than one member alone, and none falls behind") {
                val alone = Region(1).apply { run(30_000) }
                val region = Region(20)
                region.run(2_000)
                val before = region.storeCalls
                region.run(30_000)
                (region.storeCalls - before) shouldBeLessThan alone.storeCalls * 3 / 2
                region.oldest() shouldBeLessThanOrEqual 1_200
            }

            it("is without fresh knowledge for less than two and a half seconds when two readers fail") {
                val region = Region(20)
                region.run(5_000)
                region.isAlive[0] = false
                region.isAlive[1] = false
                var oldest = 0L
                repeat(60) {
                    region.run(50)
                    oldest = maxOf(oldest, region.oldest())
                }
                oldest shouldBeLessThanOrEqual 2_000
            }

            it("asks a store that is down far less often than each member for itself would") {
                val region = Region(20)
                region.run(5_000)
                region.isStoreUp = false
                val before = region.storeCalls
                region.run(9_000)
                (region.storeCalls - before) shouldBeLessThan 100
                region.isStoreUp = true
                region.run(1_500)
                region.oldest() shouldBeLessThanOrEqual 1_500
            }
        }

        describe("the ranks") {
            it("are each held by one member, whoever counts") {
                val members = (1..50).map { InstanceId("instance-$it") }
                members.map { ReaderRank.of(it, members) }.sorted() shouldBe (0..49).toList()
            }
        }
    })
