package toucanrelay.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random

class AnswerProgressTest :
    DescribeSpec({
        describe("the progress of an answer") {
            it("accepts delayed, duplicated and reordered chunks only if they extend the answer byte for byte") {
                checkAll(PropTestConfig(seed = 4208, iterations = 500), Arb.int()) { seed ->
                    val random = Random(seed)
                    val answer = random.nextBytes(random.nextInt(1, 200))
                    val progress = AnswerProgress().apply { acceptHead() }
                    val accepted = mutableListOf<Byte>()
                    repeat(400) {
                        val from = random.nextInt(answer.size)
                        val to = random.nextInt(from, minOf(answer.size, from + 20)) + 1
                        if (progress.acceptChunk(from.toLong(), to - from)) accepted += answer.slice(from until to)
                    }
                    accepted shouldBe answer.take(accepted.size)
                    progress.isComplete(answer.size.toLong()) shouldBe (accepted.size == answer.size)
                }
            }

            it("rejects a chunk before the head and a second head") {
                val progress = AnswerProgress()
                progress.acceptChunk(0, 5) shouldBe false
                progress.acceptHead() shouldBe true
                progress.acceptHead() shouldBe false
                progress.acceptChunk(0, 5) shouldBe true
            }

            it("is not complete if the stated length differs") {
                val progress = AnswerProgress().apply { acceptHead() }
                progress.acceptChunk(0, 5)
                progress.isComplete(6) shouldBe false
                progress.isComplete(5) shouldBe true
            }
        }
    })
