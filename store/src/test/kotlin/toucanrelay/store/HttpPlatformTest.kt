package toucanrelay.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import toucanrelay.core.identity.TargetId
import toucanrelay.store.instances.InstanceRole
import toucanrelay.store.instances.InstanceState
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.WriteCondition

class HttpPlatformTest :
    DescribeSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }
        val key = RowKey("orders", "a/b c")

        suspend fun <T> answeredBy(
            answer: (HttpServerRequest) -> Unit,
            answerMilliseconds: Long = 20_000,
            call: suspend (Platform) -> T,
        ): T {
            val server =
                vertx
                    .createHttpServer()
                    .requestHandler(answer)
                    .listen(0, "127.0.0.1")
                    .coAwait()
            val platform =
                httpPlatform(
                    vertx,
                    "http://127.0.0.1:${server.actualPort()}",
                    PlatformTimeouts(connectMilliseconds = 20_000, answerMilliseconds),
                )
            return call(platform).also {
                platform.close()
                server.close().coAwait()
            }
        }

        suspend fun writeAnsweredBy(answer: (HttpServerRequest) -> Unit): Result<RowVersion, PlatformError> =
            answeredBy(answer) { it.write(key, "{}", WriteCondition.Absent) }

        describe("a row") {
            it("is read with its version, its key encoded") {
                var path = ""
                val row =
                    answeredBy({
                        path = it.path()
                        it.response().putHeader("ETag", "\"7\"").end("{}")
                    }) { it.read(key) }

                row.get() shouldBe Row(RowVersion("\"7\""), "{}")
                path shouldBe "/tables/orders/rows/a%2Fb%20c"
            }

            it("that does not exist is null") {
                answeredBy({ it.response().setStatusCode(404).end() }) { it.read(key) }.get() shouldBe null
            }

            it("is written under the condition that it is absent") {
                var condition: String? = null
                writeAnsweredBy {
                    condition = it.getHeader("If-None-Match")
                    it.response().putHeader("ETag", "\"1\"").end()
                }.get() shouldBe RowVersion("\"1\"")
                condition shouldBe "*"
            }

            it("is deleted under the condition that it is unchanged") {
                var condition: String? = null
                answeredBy({
                    condition = it.getHeader("If-Match")
                    it.response().setStatusCode(204).end()
                }) { it.delete(key, RowVersion("\"3\"")) }.get() shouldBe Unit
                condition shouldBe "\"3\""
            }
        }

        describe("many reads at once") {
            it("lose no answer to a thread that is slow to look at it") {
                val lost =
                    answeredBy({ it.response().putHeader("ETag", "\"7\"").end("{}") }) { platform ->
                        withContext(Dispatchers.Default) {
                            List(
                                READERS,
                            ) { async { (1..READS_EACH).count { platform.read(key).isErr } } }.awaitAll().sum()
                        }
                    }

                lost shouldBe 0
            }
        }

        describe("a write whose answer has the status") {
            it("412 is a conflict") {
                writeAnsweredBy { it.response().setStatusCode(412).end() }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.Conflict>()
            }

            listOf(400, 429, 503).forEach { status ->
                it("$status was not taken") {
                    writeAnsweredBy { it.response().setStatusCode(status).end() }
                        .getError()
                        .shouldBeInstanceOf<PlatformError.NotTaken>()
                }
            }

            listOf(500, 502, 504).forEach { status ->
                it("$status may have taken effect") {
                    writeAnsweredBy { it.response().setStatusCode(status).end() }
                        .getError()
                        .shouldBeInstanceOf<PlatformError.AnswerLost>()
                }
            }
        }

        describe("a write that gets no answer") {
            it("because nobody listens was not taken") {
                val platform = httpPlatform(vertx, "http://127.0.0.1:${closedPort(vertx)}")

                platform
                    .write(key, "{}", WriteCondition.Absent)
                    .getError()
                    .shouldBeInstanceOf<PlatformError.NotTaken>()
            }

            it("because the connection broke may have taken effect") {
                writeAnsweredBy { it.connection().close() }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.AnswerLost>()
            }

            it("in time may have taken effect") {
                answeredBy({ }, answerMilliseconds = 200) { it.write(key, "{}", WriteCondition.Absent) }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.AnswerLost>()
            }
        }

        describe("the list of instances") {
            it("is read, unknown keys skipped") {
                val body =
                    """
                    {"asOfMilliseconds": 5, "instances": [{"instanceId": "i", "role": "agent", "state": "leaving",
                    "region": "r", "failureDomain": "f", "targetId": "t", "host": "127.0.0.1", "port": 9, "new": 1}]}
                    """.trimIndent()

                val record = answeredBy({ it.response().end(body) }) { it.list() }.get()!!.single()

                record.role shouldBe InstanceRole.AGENT
                record.state shouldBe InstanceState.LEAVING
                record.target shouldBe TargetId("t")
            }

            it("that cannot be read is an error") {
                answeredBy({ it.response().end("garbage") }) { it.list() }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.AnswerLost>()
            }
        }
    })

private const val READERS = 64
private const val READS_EACH = 200

private suspend fun closedPort(vertx: Vertx): Int {
    val server =
        vertx
            .createNetServer()
            .connectHandler { }
            .listen(0, "127.0.0.1")
            .coAwait()
    return server.actualPort().also { server.close().coAwait() }
}
