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

private val evidences: Arb<CrashEvidence> =
    Arb.bind(
        Arb.map(Arb.int(0..5).map { run(it) }, Arb.long(0L..200_000L)),
        Arb.long(0L..200_000L).orNull(),
    ) { crashes, answeredAt -> CrashEvidence(crashes.toImmutableMap(), answeredAt) }

private fun part(id: String): Suspect = Suspect.PromptPart(id)

class CrashQuarantineTest :
    DescribeSpec({
        val clock = ManualClock(1_000_000)

        fun quarantine() = CrashQuarantine(clock)

        describe("a part on which targets crash") {
            it("is suspected after one crash and quarantined after three at different addresses") {
                val parts = quarantine()
                (1..2).forEach { parts.recordCrash(run(it), listOf(part("bad"), part("sound"))) }
                parts.worstCondition(listOf(part("bad"))) shouldBe SuspectCondition.SUSPECTED
                parts.recordAnswer(listOf(part("sound")))
                parts.recordCrash(run(3), listOf(part("bad"), part("sound")))
                parts.quarantined(listOf(part("sound"), part("bad"))) shouldBe part("bad")
                parts.worstCondition(listOf(part("sound"))) shouldBe SuspectCondition.SOUND
            }

            it("is quarantined after five at one address") {
                val parts = quarantine()
                (1..4).forEach { parts.recordCrash(run(it, port = 1), listOf(part("bad"))) }
                parts.quarantined(listOf(part("bad"))) shouldBe null
                parts.recordCrash(run(5, port = 1), listOf(part("bad")))
                parts.quarantined(listOf(part("bad"))) shouldBe part("bad")
            }

            it("counts each crash once, however many requests and members report it") {
                val parts = quarantine()
                val other = quarantine()
                repeat(5) { parts.recordCrash(run(1), listOf(part("bad"))) }
                other.recordCrash(run(1), listOf(part("bad")))
                repeat(5) { other.evidenceToShare(10).forEach { (part, evidence) -> parts.merge(part, evidence) } }
                parts.evidenceOn(part("bad")).crashes.size shouldBe 1
            }

            it("is tried again after the quarantine, and quarantined for longer after the next crash") {
                val parts = quarantine()
                (1..3).forEach { parts.recordCrash(run(it), listOf(part("bad"))) }
                clock.advance(10 * MINUTE_MILLISECONDS)
                parts.quarantined(listOf(part("bad"))) shouldBe null
                parts.recordCrash(run(4), listOf(part("bad")))
                clock.advance(15 * MINUTE_MILLISECONDS)
                parts.quarantined(listOf(part("bad"))) shouldBe part("bad")
                clock.advance(5 * MINUTE_MILLISECONDS)
                parts.quarantined(listOf(part("bad"))) shouldBe null
            }

            it("is sound again once it is released") {
                val parts = quarantine()
                (1..3).forEach { parts.recordCrash(run(it), listOf(part("bad"))) }
                parts.release(part("bad"))
                parts.quarantined(listOf(part("bad"))) shouldBe null
            }
        }

        describe("a sound part whose requests were at targets that crashed") {
            it("is cleared by an answer that another member has seen, before or after the crashes") {
                listOf(true, false).forEach { isBefore ->
                    val parts = quarantine()
                    val other = quarantine()
                    if (isBefore) other.recordAnswer(listOf(part("sound")))
                    (1..4).forEach { parts.recordCrash(run(it), listOf(part("sound"))) }
                    parts.quarantined(listOf(part("sound"))) shouldBe part("sound")
                    if (!isBefore) other.recordAnswer(listOf(part("sound")))
                    parts.evidenceToShare(10).forEach { (part, evidence) -> other.merge(part, evidence) }
                    other.evidenceToShare(10).forEach { (part, evidence) -> parts.merge(part, evidence) }
                    parts.quarantined(listOf(part("sound"))) shouldBe null
                }
            }

            it("is forgotten after a while") {
                val parts = quarantine()
                parts.recordCrash(run(1), listOf(part("sound")))
                clock.advance(10 * MINUTE_MILLISECONDS)
                parts.evidenceToShare(10).shouldBeEmpty()
                parts.counts().shouldBeEmpty()
            }
        }

        describe("a request on which targets crash, whose prompt parts are answered in others") {
            it("is quarantined while its parts are not") {
                val quarantine = quarantine()
                val suspects = listOf(part("shared"), Suspect.Request("bad"))
                (1..3).forEach {
                    quarantine.recordCrash(run(it), suspects)
                    quarantine.recordAnswer(listOf(part("shared"), Suspect.Request("sound-$it")))
                }
                quarantine.quarantined(suspects) shouldBe Suspect.Request("bad")
                quarantine.quarantined(listOf(part("shared"))) shouldBe null
            }
        }

        describe("the addresses at which targets crashed on a suspect") {
            it("are known until an answer refutes the suspicion") {
                val quarantine = quarantine()
                quarantine.recordCrash(run(1), listOf(Suspect.Request("bad"), part("sound")))
                quarantine.crashAddresses(listOf(Suspect.Request("bad"))) shouldBe setOf(run(1).address)
                quarantine.recordAnswer(listOf(part("sound")))
                quarantine.crashAddresses(listOf(part("sound"))) shouldBe emptySet()
            }
        }

        describe("a suspect") {
            it("is read from its text form") {
                listOf(part("a1"), Suspect.Request("b2")).forEach { Suspect.parse(it.toString()) shouldBe it }
                listOf("", "a1", "part:", "request:", "other:a1").forEach { Suspect.parse(it) shouldBe null }
            }
        }

        describe("new crashes that a member saw itself") {
            it("are shared by that member even where stronger suspicions fill the room") {
                val own = quarantine()
                val other = quarantine()
                (1..2).forEach { crash ->
                    (0 until 20).forEach { own.recordCrash(run(crash), listOf(part("strong-$it"))) }
                }
                clock.advance(10_000)
                own.recordCrash(run(3), listOf(Suspect.Request("new")))
                own.evidenceToShare(16).forEach { (suspect, evidence) -> other.merge(suspect, evidence) }
                other.worstCondition(listOf(Suspect.Request("new"))) shouldBe SuspectCondition.SUSPECTED
                (Suspect.Request("new") in other.evidenceToShare(0)) shouldBe false
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
                (0 until 50).forEach { parts.recordCrash(run(9), listOf(part("part-$it"))) }
                parts.recordAnswer(listOf(part("sound")))
                parts.merge(part("sound"), CrashEvidence(persistentMapOf(run(1) to clock.nowMilliseconds()), null))
                (part("sound") in parts.evidenceToShare(16)) shouldBe true
            }

            it("take bounded memory and room in digests, and the strongest suspicions stay") {
                val parts = quarantine()
                (1..3).forEach { parts.recordCrash(run(it), listOf(part("bad"))) }
                (0 until 5_000).forEach { parts.recordCrash(run(9), listOf(part("part-$it"))) }
                parts.counts().values.sum() shouldBeLessThanOrEqual 1_000
                parts.evidenceToShare(16).size shouldBe 8 + 64
                clock.advance(3_000)
                parts.evidenceToShare(16).size shouldBe 8
                parts.evidenceToShare(16).keys.first() shouldBe part("bad")
            }
        }
    })
