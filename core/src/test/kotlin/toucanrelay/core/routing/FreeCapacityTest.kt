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
            it("never exceeds the announced number and is restored when all requests have ended") {
                checkAll(PropTestConfig(seed = 4404, iterations = 300), Arb.list(Arb.int(0..3), 1..200)) { steps ->
                    val capacity = FreeCapacity()
                    val running = ArrayDeque<Long>()
                    var announced = 0
                    steps.forEach { step ->
                        when (step) {
                            0 -> capacity.recordAnnouncement((running.size % 5 + 1).also { announced = it })
                            1 -> running.removeFirstOrNull()?.let(capacity::recordEnd)
                            else -> if (capacity.available(0) > 0) running.addLast(capacity.recordSend())
                        }
                        capacity.available(0) shouldBeInRange 0..announced
                    }
                    running.forEach(capacity::recordEnd)
                    capacity.available(0) shouldBe announced
                }
            }

            it("is zero after a refusal until the pause is over or a new announcement arrives") {
                val capacity = FreeCapacity(refusalPauseMilliseconds = 100).apply { recordAnnouncement(2) }
                capacity.recordRefusal(nowMilliseconds = 0)
                capacity.available(99) shouldBe 0
                capacity.available(100) shouldBe 2
                capacity.recordRefusal(nowMilliseconds = 100)
                capacity.recordAnnouncement(1)
                capacity.available(100) shouldBe 1
            }
        }
    })
