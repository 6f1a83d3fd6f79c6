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

class EventSplitterTest :
    DescribeSpec({
        val stream = (1..5).joinToString("") { "id: $it\ndata: event $it\n\n" }

        describe("a stream that arrives in pieces") {
            it("yields the same complete events for all piece sizes") {
                checkAll(PropTestConfig(seed = 2), Arb.list(Arb.int(1..9), 1..60)) { sizes ->
                    val splitter = EventSplitter()
                    val events = mutableListOf<ServerSentEvent>()
                    var rest = stream
                    (sizes + stream.length).forEach { size ->
                        events += splitter.feed(Buffer.buffer(rest.take(size)))
                        rest = rest.drop(size)
                    }
                    events.map { it.id } shouldContainExactly listOf(1L, 2L, 3L, 4L, 5L)
                    events.joinToString("") { it.bytes.toString() } shouldBe stream
                    splitter.hasPartialEvent shouldBe false
                }
            }
        }

        describe("a stream that stops within an event") {
            it("keeps the partial event in the buffer") {
                val splitter = EventSplitter()
                splitter.feed(Buffer.buffer("id: 1\ndata: x\n\nid: 2\nda")).map { it.id } shouldContainExactly
                    listOf(1L)
                splitter.hasPartialEvent shouldBe true
            }
        }

        describe("other formats") {
            it("accepts line ends with a carriage return and events without an id") {
                EventSplitter().feed(Buffer.buffer("id: 4\r\ndata: x\r\n\r\n")).map { it.id } shouldContainExactly
                    listOf(4L)
                EventSplitter().feed(Buffer.buffer("data: x\n\n")).map { it.id } shouldContainExactly listOf(null)
            }
        }
    })
