package toucanrelay.core.admission

import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import toucanrelay.core.identity.RequestId
import toucanrelay.core.time.ManualClock

@OptIn(ExperimentalKotest::class)
class RequestMemoryTest :
    DescribeSpec({
        describe("the memory of requests") {
            it("takes a request once within the window") {
                val memory = RequestMemory(ManualClock())

                memory.remember(RequestId("a")) shouldBe true
                memory.remember(RequestId("a")) shouldBe false
            }

            it("takes a request again that was given back") {
                val memory = RequestMemory(ManualClock())
                memory.remember(RequestId("a"))

                memory.forget(RequestId("a"))

                memory.recall(RequestId("a")) shouldBe Recollection.NEVER_SEEN
            }

            it("never says never seen of a request within the window, however full it is") {
                checkAll(PropTestConfig(seed = 4204, iterations = 200), Arb.list(Arb.int(0..40), 1..120)) { waits ->
                    val clock = ManualClock(1_000)
                    val memory = RequestMemory(clock, windowMilliseconds = 500, capacity = 8)
                    val seenAt = mutableMapOf<RequestId, Long>()
                    waits.forEachIndexed { index, wait ->
                        clock.advance(wait.toLong())
                        val id = RequestId("$index")
                        memory.remember(id)
                        seenAt[id] = clock.nowMilliseconds()
                        seenAt
                            .filterValues { clock.nowMilliseconds() - it <= 500 }
                            .keys
                            .forEach { memory.recall(it) shouldNotBe Recollection.NEVER_SEEN }
                    }
                }
            }
        }
    })
