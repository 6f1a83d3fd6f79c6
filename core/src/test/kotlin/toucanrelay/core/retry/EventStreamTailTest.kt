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

private fun pieces(text: String, random: Random): List<String> {
    val cuts = List(random.nextInt(0, 10)) { random.nextInt(text.length + 1) }.sorted()
    return (listOf(0) + cuts + text.length).zipWithNext { from, to -> text.substring(from, to) }
}

class EventStreamTailTest :
    DescribeSpec({
        describe("a stream cut into any pieces") {
            listOf("\n\n", "\r\n\r\n").forEach { separator ->
                it("comes out byte for byte and in whole events, separated by ${separator.length} characters") {
                    checkAll(PropTestConfig(seed = 4209, iterations = 500), Arb.int()) { seed ->
                        val random = Random(seed)
                        val text = events(random, separator) + "id: 99\ndata: [DONE]\n\n"
                        val tail = EventStreamTail()
                        val given = StringBuilder()
                        pieces(text, random).forEach { piece ->
                            val out = tail.accept(piece.toByteArray()).decodeToString()
                            if (out.isNotEmpty()) out.endsWith(separator) shouldBe true
                            given.append(out)
                        }
                        given.toString() shouldNotContain "[DONE]"
                        given.append(tail.finish().decodeToString())
                        given.toString() shouldBe text
                    }
                }
            }

            it("does not hold back more than its limit") {
                val tail = EventStreamTail(maximumHeldBytes = 10)
                tail.accept("data: a very long event".toByteArray()).size shouldBe 23
            }
        }
    })
