package toucanrelay.measure.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun token(id: Int) = "id: $id\ndata: {\"choices\":[]}"

private fun usage(id: Int) = "id: $id\ndata: {\"usage\":{}}"

private fun end(id: Int) = "id: $id\ndata: [DONE]"

class EventStreamValidatorTest :
    DescribeSpec({
        describe("a streamed answer") {
            it("is complete with all events in order") {
                val validator = EventStreamValidator()
                listOf(token(1), token(2), usage(3), end(4)).map { validator.accept(it) } shouldBe
                    listOf(StreamEvent.TOKEN, StreamEvent.TOKEN, StreamEvent.USAGE, StreamEvent.END)
                validator.isComplete shouldBe true
            }

            it("is incomplete before the end marker") {
                val validator = EventStreamValidator()
                listOf(token(1), usage(2)).forEach { validator.accept(it) }
                validator.isComplete shouldBe false
            }

            it("is incomplete without usage") {
                val validator = EventStreamValidator()
                listOf(token(1), end(2)).forEach { validator.accept(it) }
                validator.isComplete shouldBe false
            }

            listOf(
                "a lost" to listOf(1, 3),
                "a duplicated" to listOf(1, 1),
                "a reordered" to listOf(2),
            ).forEach { (name, ids) ->
                it("with $name event is reported as out of order") {
                    val validator = EventStreamValidator()
                    ids.map { validator.accept(token(it)) }.last() shouldBe StreamEvent.OUT_OF_ORDER
                }
            }

            it("reports an error event") {
                EventStreamValidator().accept("event: error\ndata: {}") shouldBe StreamEvent.ERROR
            }
        }
    })
