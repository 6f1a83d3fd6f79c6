package toucanrelay.core.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.collections.immutable.persistentListOf
import toucanrelay.core.identity.TargetId

private fun prompt(tokens: Int, output: Int = 50, affinityKey: String = "subject") =
    PromptProfile(
        model = "m",
        promptTokens = tokens,
        maxOutputTokens = output,
        hintedOutputTokens = null,
        expectedOutputTokens = output,
        parts = persistentListOf(PromptPart(affinityKey, tokens / 2), PromptPart("own", tokens / 2)),
    )

private fun candidate(
    name: String,
    unread: Long = 0,
    running: Int = 0,
    resident: Int = 0,
    readPerSecond: Double = 0.0,
    memory: Long = 0,
    failureRate: Double = 0.0,
) = Candidate(
    target = TargetId(name),
    distance = Distance.SAME_REGION,
    load = TargetLoad(running, unread, memory),
    readTokensPerSecond = readPerSecond,
    residentTokens = resident,
    failureRate = failureRate,
    slots = 64,
    memoryTokens = 300_000,
)

class PlacementPolicyTest :
    DescribeSpec({
        val speed = EngineSpeed(40.0)

        fun place(prompt: PromptProfile, vararg candidates: Candidate, allowed: Double = 500.0) =
            PlacementPolicy.placeModelCall(prompt, candidates.toList(), speed, allowed)?.target?.value

        describe("prompts with shared parts") {
            it("go to the engine that has cached the shared part, even behind a short queue") {
                val first = candidate("a", unread = 4_000, resident = 4_000)
                place(prompt(8_000), first, candidate("b")) shouldBe "a"
            }

            it("go to another engine when the one with the cached part has a long queue") {
                val first = candidate("a", unread = 25_000, resident = 4_000)
                place(prompt(8_000), first, candidate("b")) shouldBe "b"
            }

            it("with the same affinity key go to the same engine, in any order of equal candidates") {
                val candidates = listOf("a", "b", "c", "d").map { candidate(it) }
                val chosen = place(prompt(1_000), *candidates.toTypedArray())
                place(prompt(1_000), *candidates.reversed().toTypedArray()) shouldBe chosen
            }

            it("with different affinity keys spread over the engines") {
                val candidates = listOf("a", "b", "c", "d").map { candidate(it) }.toTypedArray()
                (1..40).map { place(prompt(1_000, affinityKey = "s$it"), *candidates) }.toSet().size shouldBe 4
            }
        }

        describe("overload") {
            it("leads to no placement when all queues are too long") {
                place(prompt(2_000), candidate("a", unread = 30_000), candidate("b", unread = 40_000)) shouldBe null
            }

            it("does not refuse an engine without a queue to a request that has waited longer than its limit") {
                place(prompt(2_000), candidate("a"), candidate("b", unread = 40_000), allowed = -100.0) shouldBe "a"
                place(prompt(2_000), candidate("a", unread = 1), allowed = -100.0) shouldBe null
            }

            it("does not exclude a prompt whose own reading time exceeds the limit, if the queue is short") {
                place(prompt(39_000), candidate("a", unread = 4_000)) shouldBe "a"
                place(prompt(39_000), candidate("a", unread = 15_000)) shouldBe null
            }

            it("does not exceed the usable memory of an engine") {
                place(prompt(9_000), candidate("a", running = 5, memory = 265_000)) shouldBe null
            }

            it("places a prompt that exceeds the usable memory only on an idle engine") {
                place(prompt(280_000), candidate("a")) shouldBe "a"
                place(prompt(280_000), candidate("a", running = 1, memory = 100)) shouldBe null
            }
        }

        describe("a mix of long prompts and long answers") {
            val reading = candidate("reading", running = 10, readPerSecond = 36_000.0)
            val generating = candidate("generating", running = 40, readPerSecond = 5_000.0)

            it("sends long answers to engines that read little") {
                place(prompt(500, output = 800), reading, generating) shouldBe "generating"
            }

            it("sends long prompts to engines that generate little") {
                place(prompt(9_000, output = 20), reading, generating) shouldBe "reading"
            }

            it("prefers the less busy engine when all are busy reading") {
                val busier = candidate("busier", running = 20, readPerSecond = 60_000.0)
                val busy = candidate("busy", running = 20, readPerSecond = 42_000.0)
                place(prompt(500, output = 800), busier, busy) shouldBe "busy"
            }
        }

        describe("a target with a limited rate of requests") {
            val limited = candidate("a").copy(requestIntervalMilliseconds = 200.0)

            it("gets long prompts rather than short ones, which another target reads soon enough") {
                place(prompt(8_000), limited, candidate("b", unread = 3_000)) shouldBe "a"
                place(prompt(400), limited, candidate("b", unread = 3_000)) shouldBe "b"
            }

            it("gets short prompts where the other targets have long queues") {
                place(prompt(400), limited, candidate("b", unread = 12_000)) shouldBe "a"
            }
        }

        describe("a target that fails part of its requests") {
            it("is avoided") {
                place(prompt(1_000), candidate("a", failureRate = 0.5), candidate("b", unread = 4_000)) shouldBe "b"
            }
        }

        describe("calls of plain services") {
            it("go to the least loaded target, and to none when all queues are full") {
                val busy = candidate("a", running = 100)
                PlacementPolicy.placeServiceCall(listOf(busy, candidate("b", running = 3)), 2.5)?.target?.value shouldBe
                    "b"
                PlacementPolicy.placeServiceCall(listOf(candidate("a", running = 160)), 2.5) shouldBe null
                PlacementPolicy.placeServiceCall(listOf(busy), 2.5) shouldNotBe null
            }
        }
    })
