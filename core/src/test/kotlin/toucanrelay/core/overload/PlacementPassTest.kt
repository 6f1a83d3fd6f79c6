package toucanrelay.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private class Waiting(
    val organisation: String,
    val number: Int,
)

class PlacementPassTest :
    DescribeSpec({
        fun queue(organisation: String, size: Int) = List(size) { Waiting(organisation, it) }

        describe("a long queue of which no request can be placed") {
            it("takes work that does not grow with its length") {
                val calls =
                    listOf(10, 100, 1_000).map { size ->
                        var calls = 0
                        PlacementPass.run(queue("large", size), { it.organisation }) {
                            calls++
                            false
                        }
                        calls
                    }
                calls.distinct().size shouldBe 1
                calls.first() shouldBeLessThanOrEqual 10
            }

            it("does not keep the requests of other organisations from being placed") {
                val waiting = queue("large", 1_000) + queue("small", 3)
                val placed = PlacementPass.run(waiting, { it.organisation }) { it.organisation == "small" }
                placed.size shouldBe 3
            }
        }

        describe("a queue whose oldest requests cannot be placed any more") {
            it("has its newer requests placed") {
                val placed = PlacementPass.run(queue("large", 100), { it.organisation }) { it.number >= 40 }
                placed.size shouldBe 60
            }
        }

        describe("a queue of which every second request can be placed") {
            it("is gone through to its end") {
                val placed = PlacementPass.run(queue("large", 100), { it.organisation }) { it.number % 2 == 0 }
                placed.size shouldBe 50
            }
        }
    })
