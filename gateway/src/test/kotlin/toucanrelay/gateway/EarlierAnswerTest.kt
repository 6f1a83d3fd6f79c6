package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicBoolean

/** The path of requests that the targets reject. */
private const val REJECTED_PATH = "/orders/rejected"
private const val NO_ID = ""

private fun refusal(idLines: String, status: Int = 503) =
    "HTTP/1.1 $status Refused\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n$idLines\r\n"

private fun idLine(id: String) = "X-Request-Id: $id\r\n"

private const val NO_CAPACITY = "Server-Limit: 0\r\n"

private fun success(idLines: String) =
    "HTTP/1.1 200 OK\r\n${idLines}X-Response-Seal: seal\r\nContent-Length: 4\r\n\r\ndone"

/** Bytes after a complete refusal of the request with an id. */
private class Remainder(
    val name: String,
    val bytes: (id: String) -> String,
)

private val REMAINDERS =
    listOf(
        Remainder("the refusal once more") { refusal(idLine(it)) },
        Remainder("a refusal without an id") { refusal(NO_ID) },
        Remainder(
            "a part of a refusal that ends within a line",
        ) { "HTTP/1.1 503 Refused\r\nX-Not-Executed: 1\r\nX-Ser" },
        Remainder("a part of a refusal that ends with a line") { "HTTP/1.1 503 Refused\r\nX-Not-Executed: 1\r\n" },
        Remainder("a part of a refusal that ends within a value") {
            "HTTP/1.1 503 Refused\r\nX-Not-Executed: 1\r\nX-Note: par"
        },
        Remainder("bytes that are no answer") { "remainder" },
    )

class EarlierAnswerTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture
        lateinit var targets: List<KeptTargetStandIn>

        suspend fun start(count: Int = 1, script: (KeptExchange) -> Unit) {
            fixture = GatewayFixture()
            fixture.start()
            targets = List(count) { KeptTargetStandIn(script) }
            fixture.replaceTargets(targets)
        }

        fun KeptExchange.answer(idLines: String = idLine(id)) = write(success(idLines))

        fun received() = targets.sumOf { it.received.size }

        afterEach {
            fixture.kill()
            targets.forEach { it.stop() }
        }

        describe("a refusal that is no answer to the request, where the answer to a request is expected") {
            mapOf<String, (KeptExchange) -> String>(
                "the id of an earlier request" to { idLine("earlier") },
                "no id" to { NO_ID },
                "an empty id" to { idLine("") },
                "the request's id and that of an earlier one" to { idLine(it.id) + idLine("earlier") },
                "the id of an earlier request and the request's" to { idLine("earlier") + idLine(it.id) },
            ).forEach { (name, idLines) ->
                it("is not passed on as a refusal of a request that ran, with $name") {
                    start(count = 2) {
                        it.write(refusal(idLines(it)))
                        it.pause()
                        it.answer()
                    }
                    fixture.send("/orders/x").status shouldBe 502
                    received() shouldBe 1
                }
            }

            listOf("the id of an earlier request" to idLine("earlier"), "no id" to NO_ID).forEach { (name, idLines) ->
                it("says nothing of the target, with $name") {
                    val isFirst = AtomicBoolean(true)
                    start {
                        if (isFirst.getAndSet(
                                false,
                            )
                        ) {
                            it.write(refusal(idLines + NO_CAPACITY, status = 421))
                        } else {
                            it.answer()
                        }
                    }
                    fixture.send("/orders/x").status shouldBe 502
                    fixture.send("/orders/x").status shouldBe 200
                }
            }
        }

        describe("a success that is no answer to the request") {
            listOf("no id" to NO_ID, "the id of an earlier request" to idLine("earlier")).forEach { (name, idLines) ->
                it("is not passed on, with $name") {
                    start(count = 2) { it.answer(idLines) }
                    fixture.send("/orders/x").status shouldBe 502
                    received() shouldBe 1
                }
            }
        }

        describe("bytes that follow a complete refusal") {
            REMAINDERS.forEach { remainder ->
                listOf("with it" to false, "while no request waits" to true).forEach { (moment, isSeparate) ->
                    it("are part of no answer to the next request: ${remainder.name}, $moment") {
                        start {
                            if (REJECTED_PATH in it.headers) {
                                val bytes = remainder.bytes(it.id)
                                it.write(refusal(idLine(it.id)) + if (isSeparate) "" else bytes)
                                it.pause()
                                if (isSeparate) it.write(bytes)
                            } else {
                                it.answer()
                            }
                        }
                        val rejected = "rejected-1"
                        fixture.send(REJECTED_PATH, id = rejected).status shouldBe 503
                        if (isSeparate) {
                            repeat(2) {
                                targets
                                    .single()
                                    .received
                                    .last()
                                    .pause()
                            }
                        }
                        fixture.send("/calls/next").status shouldBe 200
                        targets
                            .single()
                            .received
                            .last()
                            .earlierIds shouldNotContain rejected
                    }
                }
            }
        }

        describe("a refusal of the request itself") {
            it("is never followed by the same request on the same connection") {
                start(count = 2) { it.write(refusal(idLine(it.id))) }
                fixture.send("/orders/x").status shouldBe 503
                targets.map { it.received.size } shouldBe listOf(1, 1)
            }
        }
    })
