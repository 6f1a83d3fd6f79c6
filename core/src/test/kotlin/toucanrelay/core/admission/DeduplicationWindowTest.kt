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
class DeduplicationWindowTest :
    DescribeSpec({
        describe("the deduplication window") {
            it("adds a request only once") {
                val window = DeduplicationWindow(ManualClock())

                window.add(RequestId("a")) shouldBe true
                window.add(RequestId("a")) shouldBe false
            }

            it("reports a removed request as never seen") {
                val window = DeduplicationWindow(ManualClock())
                window.add(RequestId("a"))

                window.remove(RequestId("a"))

                window.lookUp(RequestId("a")) shouldBe SeenStatus.NEVER_SEEN
            }

            it("does not report a request within the window as never seen, however full it is") {
                checkAll(PropTestConfig(seed = 4204, iterations = 200), Arb.list(Arb.int(0..40), 1..120)) { waits ->
                    val clock = ManualClock(1_000)
                    val window = DeduplicationWindow(clock, windowMilliseconds = 500, capacity = 8)
                    val seenAtMilliseconds = mutableMapOf<RequestId, Long>()
                    waits.forEachIndexed { index, wait ->
                        clock.advance(wait.toLong())
                        val id = RequestId("$index")
                        window.add(id)
                        seenAtMilliseconds[id] = clock.nowMilliseconds()
                        seenAtMilliseconds
                            .filterValues { clock.nowMilliseconds() - it <= 500 }
                            .keys
                            .forEach { window.lookUp(it) shouldNotBe SeenStatus.NEVER_SEEN }
                    }
                }
            }
        }
    })
