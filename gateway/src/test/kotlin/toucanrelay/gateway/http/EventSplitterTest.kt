package toucanrelay.gateway.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.vertx.core.buffer.Buffer

private const val FILLERS = 10_000

private fun idsOf(parts: List<StreamPart>): List<Long?> = parts.filterIsInstance<ServerSentEvent>().map { it.id }

class EventSplitterTest :
    DescribeSpec({
        val stream = (1..5).joinToString("") { "id: $it\ndata: event $it\n\n" }

        describe("a stream that arrives in pieces") {
            it("yields the same complete events for all piece sizes") {
                checkAll(PropTestConfig(seed = 2), Arb.list(Arb.int(1..9), 1..60)) { sizes ->
                    val splitter = EventSplitter()
                    val events = mutableListOf<StreamPart>()
                    var rest = stream
                    (sizes + stream.length).forEach { size ->
                        events += splitter.feed(Buffer.buffer(rest.take(size)))
                        rest = rest.drop(size)
                    }
                    idsOf(events) shouldContainExactly listOf(1L, 2L, 3L, 4L, 5L)
                    events.joinToString("") { it.bytes.toString() } shouldBe stream
                    splitter.hasPartialEvent shouldBe false
                }
            }
        }

        describe("a stream that stops within an event") {
            it("keeps the partial event in the buffer") {
                val splitter = EventSplitter()
                idsOf(splitter.feed(Buffer.buffer("id: 1\ndata: x\n\nid: 2\nda"))) shouldContainExactly listOf(1L)
                splitter.hasPartialEvent shouldBe true
            }
        }

        describe("other formats") {
            it("accepts line ends with a carriage return and events without an id") {
                idsOf(EventSplitter().feed(Buffer.buffer("id: 4\r\ndata: x\r\n\r\n"))) shouldContainExactly listOf(4L)
                idsOf(EventSplitter().feed(Buffer.buffer("data: x\n\n"))) shouldContainExactly listOf(null)
            }
        }

        describe("lines that are no event") {
            listOf(
                "\n",
                "\r\n",
                ":\n\n",
                ": comment\r\n\r\n",
                "event: ping\n\n",
                "retry: 1\n\n",
                "other: x\n\n",
                "datax: 1\n\n",
            ).forEach { filler ->
                it("are one filler for each read, however many there are: ${filler.replace("\n", "\\n")}") {
                    val parts = EventSplitter().feed(Buffer.buffer(filler.repeat(FILLERS)))
                    parts.map { it::class } shouldContainExactly listOf(StreamFiller::class)
                    parts.single().bytes.toString() shouldBe filler.repeat(FILLERS)
                }
            }

            it("are kept apart from the events around them, and no byte is lost") {
                val text = "\n: a\n\nid: 1\n\n\n\nevent: ping\n\ndata\n\n: b\n\nid: 2"
                val splitter = EventSplitter()
                val parts = splitter.feed(Buffer.buffer(text))
                parts.map { it is ServerSentEvent } shouldContainExactly listOf(false, true, false, true, false)
                idsOf(parts) shouldContainExactly listOf(1L, null)
                parts.joinToString("") { it.bytes.toString() } shouldBe text.removeSuffix("id: 2")
                splitter.partialEventBytes shouldBe "id: 2".length
            }
        }
    })
