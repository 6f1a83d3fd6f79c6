package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import toucanrelay.platform.standin.ReceivedResponse
import toucanrelay.platform.standin.TargetScript

/** The process ends its requests 3.6 s after the start of the shutdown and refuses new ones from 2 s on. */
private const val LATE_MILLISECONDS = 1_300L

class PlannedStopTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture

        beforeEach {
            fixture = GatewayFixture()
            fixture.start()
        }

        afterEach { fixture.kill() }

        fun answerAfter(milliseconds: Long) {
            val script =
                TargetScript { request, received, target ->
                    fixture.vertx.setTimer(milliseconds) { target.respond(request, received, "whole") }
                }
            fixture.targets.forEach { it.script = script }
        }

        fun streamFor(milliseconds: Long) {
            val script =
                TargetScript { request, received, target ->
                    val response = target.beginStream(request, received)
                    response.write("id: 1\ndata: event 1\n\n")
                    fixture.vertx.setTimer(milliseconds) { response.end("id: 2\ndata: event 2\n\n") }
                }
            fixture.targets.forEach { it.script = script }
        }

        /** Returns what becomes of a request that is sent late in a shutdown; null if its answer is cut off. */
        suspend fun sendLate(path: String, deadlineMilliseconds: Long = 5_000): ReceivedResponse? =
            coroutineScope {
                val stopped = async { fixture.gateway.stop() }
                delay(LATE_MILLISECONDS)
                val answer: Deferred<ReceivedResponse?> =
                    async {
                        runCatching {
                            fixture.send(path, deadlineMilliseconds = deadlineMilliseconds)
                        }.getOrNull()
                    }
                answer.await().also { stopped.await() }
            }

        fun shouldBeRefused(answer: ReceivedResponse?) {
            answer?.status shouldBe 503
            answer?.body shouldBe "shutting-down\n"
            answer?.headers?.get("connection") shouldBe "close"
            checkNotNull(answer?.headers?.get("retry-after")).toDouble() shouldBeLessThan 0.1
            fixture.receivedCount() shouldBe 0
        }

        describe("a request that arrives late in a shutdown") {
            it("is refused if it must not run twice and its answer may come after the end of the process") {
                answerAfter(3_000)
                shouldBeRefused(sendLate("/orders/x"))
            }

            it("is refused if such streams have taken longer than what is left") {
                streamFor(2_500)
                fixture.send("/streams/x").status shouldBe 200
                fixture.targets.forEach { it.receivedRequests.clear() }
                shouldBeRefused(sendLate("/streams/x"))
            }

            it("is served if such requests have been answered soon") {
                answerAfter(50)
                repeat(3) { fixture.send("/orders/x").status shouldBe 200 }
                sendLate("/orders/x")?.status shouldBe 200
            }

            it("is served if its deadline comes before the end of the process") {
                answerAfter(1_000)
                sendLate("/orders/x", deadlineMilliseconds = 1_500)?.status shouldBe 200
            }
        }

        describe("a request that a target rejects late in a shutdown") {
            it("is not sent to another one that could not answer it in time") {
                val script =
                    TargetScript { request, received, target ->
                        if (fixture.receivedCount() > 1) return@TargetScript
                        fixture.vertx.setTimer(1_500) { target.reject(request, received) }
                    }
                fixture.targets.forEach { it.script = script }
                coroutineScope {
                    val answer = async { fixture.send("/orders/x") }
                    fixture.eventually { fixture.receivedCount() == 1 }
                    fixture.gateway.stop()
                    answer.await().body shouldBe "shutting-down\n"
                    fixture.receivedCount() shouldBe 1
                }
            }
        }
    })
