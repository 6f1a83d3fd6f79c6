package toucanrelay.measure.load

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val success = OrderAttempt(200)
private val notRun = OrderAttempt(503, "claim-unavailable", "no")
private val unknown = OrderAttempt(502, "answer-lost", "unknown")

private data class Case(
    val name: String,
    val attempts: List<OrderAttempt>,
    val runs: Int,
    val expected: OrderAudit,
)

class OrderLogTest :
    DescribeSpec({
        describe("an audit of an order log") {
            val cases =
                listOf(
                    Case("a success", listOf(success), 1, OrderAudit(1, 1, 1, 0, 0, 0)),
                    Case("a repeated success", listOf(success, success), 1, OrderAudit(1, 2, 1, 0, 0, 0)),
                    Case("a second run", listOf(success, success), 2, OrderAudit(1, 2, 1, 1, 0, 0)),
                    Case("a true refusal", listOf(notRun), 0, OrderAudit(1, 1, 0, 0, 0, 0)),
                    Case("a false refusal", listOf(notRun), 1, OrderAudit(1, 1, 0, 0, 1, 0)),
                    Case("a refusal and a run", listOf(notRun, success), 1, OrderAudit(1, 2, 1, 0, 0, 0)),
                    Case("a run of unknown outcome", listOf(unknown), 1, OrderAudit(1, 1, 0, 0, 0, 0)),
                    Case("a false success", listOf(success), 0, OrderAudit(1, 1, 1, 0, 0, 1)),
                )
            cases.forEach { case ->
                it("classifies ${case.name}") {
                    val log = OrderLog()
                    case.attempts.forEach { log.record("key", it) }
                    log.audit { case.runs } shouldBe case.expected
                }
            }
        }
    })
