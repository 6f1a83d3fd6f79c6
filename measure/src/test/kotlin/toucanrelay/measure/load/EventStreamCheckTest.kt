package toucanrelay.measure.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun token(id: Int) = "id: $id\ndata: {\"choices\":[]}"

private fun usage(id: Int) = "id: $id\ndata: {\"usage\":{}}"

private fun end(id: Int) = "id: $id\ndata: [DONE]"

class EventStreamCheckTest :
    DescribeSpec({
        describe("a streamed answer") {
            it("is whole with all events in order") {
                val check = EventStreamCheck()
                listOf(token(1), token(2), usage(3), end(4)).map { check.accept(it) } shouldBe
                    listOf(StreamEvent.TOKEN, StreamEvent.TOKEN, StreamEvent.USAGE, StreamEvent.END)
                check.isWhole shouldBe true
            }

            it("is not whole before its end mark") {
                val check = EventStreamCheck()
                listOf(token(1), usage(2)).forEach { check.accept(it) }
                check.isWhole shouldBe false
            }

            it("is not whole without its usage") {
                val check = EventStreamCheck()
                listOf(token(1), end(2)).forEach { check.accept(it) }
                check.isWhole shouldBe false
            }

            listOf(
                "a lost" to listOf(1, 3),
                "a doubled" to listOf(1, 1),
                "a crossed" to listOf(2),
            ).forEach { (name, ids) ->
                it("shows $name event") {
                    val check = EventStreamCheck()
                    ids.map { check.accept(token(it)) }.last() shouldBe StreamEvent.OUT_OF_ORDER
                }
            }

            it("shows an error event") {
                EventStreamCheck().accept("event: error\ndata: {}") shouldBe StreamEvent.ERROR
            }
        }
    })
