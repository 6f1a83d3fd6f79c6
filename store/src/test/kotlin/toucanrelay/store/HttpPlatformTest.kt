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
import java.net.InetSocketAddress
import java.net.Socket

class HttpPlatformTest :
    DescribeSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }
        val key = RowKey("orders", "a/b c")

        suspend fun <T> callServer(
            handler: (HttpServerRequest) -> Unit,
            responseMilliseconds: Long = 20_000,
            call: suspend (Platform) -> T,
        ): T {
            val server =
                vertx
                    .createHttpServer()
                    .requestHandler(handler)
                    .listen(0, "127.0.0.1")
                    .coAwait()
            val platform =
                httpPlatform(
                    vertx,
                    "http://127.0.0.1:${server.actualPort()}",
                    PlatformTimeouts(connectMilliseconds = 20_000, responseMilliseconds),
                )
            return call(platform).also {
                platform.close()
                server.close().coAwait()
            }
        }

        suspend fun writeTo(handler: (HttpServerRequest) -> Unit): Result<RowVersion, PlatformError> =
            callServer(handler) { it.write(key, "{}", WriteCondition.Absent) }

        describe("a row") {
            it("is read with its version, and its key is percent-encoded") {
                var path = ""
                val row =
                    callServer({
                        path = it.path()
                        it.response().putHeader("ETag", "\"7\"").end("{}")
                    }) { it.read(key) }

                row.get() shouldBe Row(RowVersion("\"7\""), "{}")
                path shouldBe "/tables/orders/rows/a%2Fb%20c"
            }

            it("that does not exist is read as null") {
                callServer({ it.response().setStatusCode(404).end() }) { it.read(key) }.get() shouldBe null
            }

            it("is written on the condition that it does not exist") {
                var condition: String? = null
                writeTo {
                    condition = it.getHeader("If-None-Match")
                    it.response().putHeader("ETag", "\"1\"").end()
                }.get() shouldBe RowVersion("\"1\"")
                condition shouldBe "*"
            }

            it("is deleted on the condition that it is unchanged") {
                var condition: String? = null
                callServer({
                    condition = it.getHeader("If-Match")
                    it.response().setStatusCode(204).end()
                }) { it.delete(key, RowVersion("\"3\"")) }.get() shouldBe Unit
                condition shouldBe "\"3\""
            }
        }

        describe("concurrent reads") {
            it("lose no response if the calling threads are slow to await it") {
                val failures =
                    callServer({ it.response().putHeader("ETag", "\"7\"").end("{}") }) { platform ->
                        withContext(Dispatchers.Default) {
                            List(
                                READERS,
                            ) { async { (1..READS_PER_READER).count { platform.read(key).isErr } } }.awaitAll().sum()
                        }
                    }

                failures shouldBe 0
            }
        }

        describe("a write whose response has the status") {
            it("412 is a conflict") {
                writeTo { it.response().setStatusCode(412).end() }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.Conflict>()
            }

            listOf(400, 429, 503).forEach { status ->
                it("$status was not executed") {
                    writeTo { it.response().setStatusCode(status).end() }
                        .getError()
                        .shouldBeInstanceOf<PlatformError.NotExecuted>()
                }
            }

            listOf(500, 502, 504).forEach { status ->
                it("$status may have taken effect") {
                    writeTo { it.response().setStatusCode(status).end() }
                        .getError()
                        .shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
                }
            }
        }

        describe("a write without a response") {
            it("because the connection is refused was not executed") {
                withRefusingPort { port ->
                    httpPlatform(vertx, "http://127.0.0.1:$port")
                        .write(key, "{}", WriteCondition.Absent)
                        .getError()
                        .shouldBeInstanceOf<PlatformError.NotExecuted>()
                }
            }

            it("because the connection failed may have taken effect") {
                writeTo { it.connection().close() }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
            }

            it("because of a timeout may have taken effect") {
                callServer({ }, responseMilliseconds = 200) { it.write(key, "{}", WriteCondition.Absent) }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
            }
        }

        describe("the list of instances") {
            it("is read, ignoring unknown keys") {
                val body =
                    """
                    {"asOfMilliseconds": 5, "instances": [{"instanceId": "i", "role": "agent", "state": "leaving",
                    "region": "r", "failureDomain": "f", "targetId": "t", "host": "127.0.0.1", "port": 9, "new": 1}]}
                    """.trimIndent()

                val record = callServer({ it.response().end(body) }) { it.list() }.get()!!.single()

                record.role shouldBe InstanceRole.AGENT
                record.state shouldBe InstanceState.LEAVING
                record.target shouldBe TargetId("t")
            }

            it("is an error if it is malformed") {
                callServer({ it.response().end("garbage") }) { it.list() }
                    .getError()
                    .shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
            }
        }
    })

private const val READERS = 64
private const val READS_PER_READER = 200

/**
 * Calls [block] with a port that refuses every connection: a bound socket that never listens.
 *
 * The port of a server that has just closed would not do: the kernel may still accept a connection there and reset it.
 */
private suspend fun withRefusingPort(block: suspend (Int) -> Unit) {
    Socket().use { socket ->
        socket.bind(InetSocketAddress("127.0.0.1", 0))
        block(socket.localPort)
    }
}
