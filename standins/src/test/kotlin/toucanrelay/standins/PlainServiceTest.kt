package toucanrelay.standins

import io.kotest.assertions.throwables.shouldThrowAny
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.TimeUnit

private suspend fun withService(
    settings: PlainServiceSettings = PlainServiceSettings(),
    test: suspend (PlainService, HttpCalls) -> Unit,
) {
    val service = PlainService(settings)
    val calls = HttpCalls(service.start())
    try {
        test(service, calls)
    } finally {
        service.stop()
    }
}

class PlainServiceTest :
    DescribeSpec({
        describe("an order") {
            it("is counted by request identifier and by the Idempotency-Key header") {
                withService { service, calls ->
                    calls.post("/bales/release", "{}", "X-Request-Id", "r1", "Idempotency-Key", "k1")
                    calls.post("/bales/release", "{}", "X-Request-Id", "r2", "Idempotency-Key", "k1")
                    service.runsOfRequest("r1") shouldBe 1
                    service.runsOfOrder("k1") shouldBe 2
                    service.repeatedOrders shouldBe mapOf("k1" to 2)
                    service.repeatedRequests.shouldBeEmpty()
                    calls.get("/orders/k1/runs").body() shouldBe """{"runs":2}"""
                }
            }

            it("is counted by the idempotency key in its body") {
                withService { service, calls ->
                    val answer = calls.post("/drops", """{"idempotencyKey":"k2"}""", "X-Request-Id", "r1")
                    answer.body() shouldBe """{"requestId":"r1","order":"k2","run":1}"""
                    service.runsOfOrder("k2") shouldBe 1
                }
            }

            it("runs although its answer is lost") {
                withService { service, calls ->
                    service.loseNextAnswers(1)
                    shouldThrowAny { calls.post("/drops", "{}", "Idempotency-Key", "k3") }
                    service.runsOfOrder("k3") shouldBe 1
                    calls.post("/drops", "{}", "Idempotency-Key", "k4").statusCode() shouldBe 200
                }
            }
        }

        describe("concurrency") {
            it("is limited to the configured number of calls") {
                withService(PlainServiceSettings(concurrency = 2, delayMilliseconds = 20)) { service, calls ->
                    val answers = (1..6).map { calls.sendAsync("POST", "/drops", "{}") }
                    answers.forEach { it.get(20, TimeUnit.SECONDS).statusCode() shouldBe 200 }
                    service.peakConcurrency shouldBe 2
                    service.totalRuns shouldBe 6
                }
            }
        }

        describe("bodies") {
            it("are echoed unchanged, with method and path") {
                withService { _, calls ->
                    val answer = calls.put("/echo/a?b=c", "some text", "Content-Type", "text/x-note")
                    answer.body() shouldBe "some text"
                    answer.headers().firstValue("X-Echo-Method").get() shouldBe "PUT"
                    answer.headers().firstValue("X-Echo-Path").get() shouldBe "/echo/a?b=c"
                    answer.headers().firstValue("Content-Type").get() shouldContain "text/x-note"
                }
            }

            it("are streamed in the number of chunks given in the path") {
                withService { _, calls ->
                    calls.get("/stream/3").body() shouldBe "chunk 0\nchunk 1\nchunk 2\n"
                }
            }
        }
    })
