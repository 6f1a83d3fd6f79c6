package toucanrelay.core.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.orNull
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.ManualClock

private const val MINUTE_MILLISECONDS = 60_000L

private fun run(number: Int, port: Int = number) =
    TargetRun(TargetId("target-$number"), Incarnation(number.toLong()), TargetAddress("10.0.0.1", port))

private val evidences: Arb<PartEvidence> =
    Arb.bind(
        Arb.map(Arb.int(0..5).map { run(it) }, Arb.long(0L..200_000L)),
        Arb.long(0L..200_000L).orNull(),
    ) { crashes, answeredAt -> PartEvidence(crashes.toImmutableMap(), answeredAt) }

class PromptPartQuarantineTest :
    DescribeSpec({
        val clock = ManualClock(1_000_000)

        fun quarantine() = PromptPartQuarantine(clock)

        describe("a part on which targets crash") {
            it("is suspected after one crash and quarantined after three at different addresses") {
                val parts = quarantine()
                (1..2).forEach { parts.recordCrash(run(it), listOf("bad", "sound")) }
                parts.worstCondition(listOf("bad")) shouldBe PartCondition.SUSPECTED
                parts.recordAnswer(listOf("sound"))
                parts.recordCrash(run(3), listOf("bad", "sound"))
                parts.quarantinedPart(listOf("sound", "bad")) shouldBe "bad"
                parts.worstCondition(listOf("sound")) shouldBe PartCondition.SOUND
            }

            it("is quarantined after five at one address") {
                val parts = quarantine()
                (1..4).forEach { parts.recordCrash(run(it, port = 1), listOf("bad")) }
                parts.quarantinedPart(listOf("bad")) shouldBe null
                parts.recordCrash(run(5, port = 1), listOf("bad"))
                parts.quarantinedPart(listOf("bad")) shouldBe "bad"
            }

            it("counts each crash once, however many requests and members report it") {
                val parts = quarantine()
                val other = quarantine()
                repeat(5) { parts.recordCrash(run(1), listOf("bad")) }
                other.recordCrash(run(1), listOf("bad"))
                repeat(5) { other.evidenceToShare(10).forEach { (part, evidence) -> parts.merge(part, evidence) } }
                parts.evidenceOn("bad").crashes.size shouldBe 1
            }

            it("is tried again after the quarantine, and quarantined for longer after the next crash") {
                val parts = quarantine()
                (1..3).forEach { parts.recordCrash(run(it), listOf("bad")) }
                clock.advance(10 * MINUTE_MILLISECONDS)
                parts.quarantinedPart(listOf("bad")) shouldBe null
                parts.recordCrash(run(4), listOf("bad"))
                clock.advance(15 * MINUTE_MILLISECONDS)
                parts.quarantinedPart(listOf("bad")) shouldBe "bad"
                clock.advance(5 * MINUTE_MILLISECONDS)
                parts.quarantinedPart(listOf("bad")) shouldBe null
            }

            it("is sound again once it is released") {
                val parts = quarantine()
                (1..3).forEach { parts.recordCrash(run(it), listOf("bad")) }
                parts.release("bad")
                parts.quarantinedPart(listOf("bad")) shouldBe null
            }
        }

        describe("a sound part whose requests were at targets that crashed") {
            it("is cleared by an answer that another member has seen, before or after the crashes") {
                listOf(true, false).forEach { isBefore ->
                    val parts = quarantine()
                    val other = quarantine()
                    if (isBefore) other.recordAnswer(listOf("sound"))
                    (1..4).forEach { parts.recordCrash(run(it), listOf("sound")) }
                    parts.quarantinedPart(listOf("sound")) shouldBe "sound"
                    if (!isBefore) other.recordAnswer(listOf("sound"))
                    parts.evidenceToShare(10).forEach { (part, evidence) -> other.merge(part, evidence) }
                    other.evidenceToShare(10).forEach { (part, evidence) -> parts.merge(part, evidence) }
                    parts.quarantinedPart(listOf("sound")) shouldBe null
                }
            }

            it("is forgotten after a while") {
                val parts = quarantine()
                parts.recordCrash(run(1), listOf("sound"))
                clock.advance(10 * MINUTE_MILLISECONDS)
                parts.evidenceToShare(10).shouldBeEmpty()
                parts.counts().shouldBeEmpty()
            }
        }

        describe("evidence of several members") {
            it("merges to the same result in any order and any number of times") {
                checkAll(PropTestConfig(seed = 23, iterations = 200), evidences, evidences, evidences) { a, b, c ->
                    a.merge(b) shouldBe b.merge(a)
                    a.merge(b).merge(c) shouldBe a.merge(b.merge(c))
                    a.merge(b).merge(b) shouldBe a.merge(b)
                }
            }
        }

        describe("many suspects") {
            it("leave room in digests for answers that clear other members' suspects") {
                val parts = quarantine()
                (0 until 50).forEach { parts.recordCrash(run(9), listOf("part-$it")) }
                parts.recordAnswer(listOf("sound"))
                parts.merge("sound", PartEvidence(persistentMapOf(run(1) to clock.nowMilliseconds()), null))
                ("sound" in parts.evidenceToShare(16)) shouldBe true
            }

            it("take bounded memory and room in digests, and the strongest suspicions stay") {
                val parts = quarantine()
                (1..3).forEach { parts.recordCrash(run(it), listOf("bad")) }
                (0 until 5_000).forEach { parts.recordCrash(run(9), listOf("part-$it")) }
                parts.counts().values.sum() shouldBeLessThanOrEqual 1_000
                parts.evidenceToShare(16).size shouldBe 8
                parts.evidenceToShare(16).keys.first() shouldBe "bad"
            }
        }
    })
