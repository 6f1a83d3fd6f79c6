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
        describe("an answer") {
            it("is put together byte for byte from late, doubled and crossed parts, or not at all") {
                checkAll(PropTestConfig(seed = 4208, iterations = 500), Arb.int()) { seed ->
                    val random = Random(seed)
                    val answer = random.nextBytes(random.nextInt(1, 200))
                    val progress = AnswerProgress().apply { acceptHead() }
                    val taken = mutableListOf<Byte>()
                    repeat(400) {
                        val from = random.nextInt(answer.size)
                        val to = random.nextInt(from, minOf(answer.size, from + 20)) + 1
                        if (progress.acceptChunk(from.toLong(), to - from)) taken += answer.slice(from until to)
                    }
                    taken shouldBe answer.take(taken.size)
                    progress.isWhole(answer.size.toLong()) shouldBe (taken.size == answer.size)
                }
            }

            it("takes no body before its head, and no second head") {
                val progress = AnswerProgress()
                progress.acceptChunk(0, 5) shouldBe false
                progress.acceptHead() shouldBe true
                progress.acceptHead() shouldBe false
                progress.acceptChunk(0, 5) shouldBe true
            }

            it("is not whole when its end states another length") {
                val progress = AnswerProgress().apply { acceptHead() }
                progress.acceptChunk(0, 5)
                progress.isWhole(6) shouldBe false
                progress.isWhole(5) shouldBe true
            }
        }
    })
