package toucanrelay.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

class FreeCapacityTest :
    DescribeSpec({
        describe("free capacity") {
            it("is never more than was announced, and is whole again when all has ended") {
                checkAll(PropTestConfig(seed = 4404, iterations = 300), Arb.list(Arb.int(0..3), 1..200)) { steps ->
                    val capacity = FreeCapacity()
                    val running = ArrayDeque<Long>()
                    var announced = 0
                    steps.forEach { step ->
                        when (step) {
                            0 -> capacity.announce((running.size % 5 + 1).also { announced = it })
                            1 -> running.removeFirstOrNull()?.let(capacity::end)
                            else -> if (capacity.available(0) > 0) running.addLast(capacity.send())
                        }
                        capacity.available(0) shouldBeInRange 0..announced
                    }
                    running.forEach(capacity::end)
                    capacity.available(0) shouldBe announced
                }
            }

            it("pauses after a refusal until a new announcement or a short time") {
                val capacity = FreeCapacity(refusalPauseMilliseconds = 100).apply { announce(2) }
                capacity.refuse(nowMilliseconds = 0)
                capacity.available(99) shouldBe 0
                capacity.available(100) shouldBe 2
                capacity.refuse(nowMilliseconds = 100)
                capacity.announce(1)
                capacity.available(100) shouldBe 1
            }
        }
    })
