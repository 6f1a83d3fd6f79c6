package toucanrelay.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random

private fun events(random: Random, separator: String): String =
    (1..random.nextInt(1, 12)).joinToString("") {
        "id: $it${separator.take(separator.length / 2)}data: {\"t\":$it}$separator"
    }

private fun chunks(text: String, random: Random): List<String> {
    val cuts = List(random.nextInt(0, 10)) { random.nextInt(text.length + 1) }.sorted()
    return (listOf(0) + cuts + text.length).zipWithNext { from, to -> text.substring(from, to) }
}

class EventStreamBufferTest :
    DescribeSpec({
        describe("an event stream that arrives in arbitrary chunks") {
            listOf("\n\n", "\r\n\r\n").forEach { separator ->
                it("is forwarded byte for byte in complete events separated by ${separator.length} characters") {
                    checkAll(PropTestConfig(seed = 4209, iterations = 500), Arb.int()) { seed ->
                        val random = Random(seed)
                        val text = events(random, separator) + "id: 99\ndata: [DONE]\n\n"
                        val buffer = EventStreamBuffer()
                        val forwarded = StringBuilder()
                        chunks(text, random).forEach { chunk ->
                            val out = buffer.accept(chunk.toByteArray()).decodeToString()
                            if (out.isNotEmpty()) out.endsWith(separator) shouldBe true
                            forwarded.append(out)
                        }
                        forwarded.toString() shouldNotContain "[DONE]"
                        forwarded.append(buffer.finish().decodeToString())
                        forwarded.toString() shouldBe text
                    }
                }
            }

            it("forwards an incomplete event that exceeds the buffer limit") {
                val buffer = EventStreamBuffer(maxBufferedBytes = 10)
                buffer.accept("data: a very long event".toByteArray()).size shouldBe 23
            }
        }
    })
