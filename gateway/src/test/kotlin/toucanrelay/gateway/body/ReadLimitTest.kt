package toucanrelay.gateway.body

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpConnectOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import toucanrelay.gateway.Gateway
import toucanrelay.gateway.LOOPBACK
import toucanrelay.gateway.LoopTurn
import toucanrelay.gateway.TIMEOUT_MILLISECONDS
import toucanrelay.http.ConnectionChannels

private const val BODY_BYTES = 4 * 1_024 * 1_024
private val BODY = Buffer.buffer(ByteArray(BODY_BYTES))

/** Counts the bytes that an event loop reads in each of its turns. */
private class TurnCount {
    private var inTurn = 0
    var total = 0
        private set
    var mostInTurn = 0
        private set

    fun record(bytes: Buffer) {
        total += bytes.length()
        inTurn += bytes.length()
        mostInTurn = maxOf(mostInTurn, inTurn)
    }

    /** Counts on the event loop of [reading] until [isOver]. */
    suspend fun watch(reading: Vertx, isOver: () -> Boolean) {
        val turn = LoopTurn(reading)
        withTimeout(TIMEOUT_MILLISECONDS) {
            while (!isOver()) {
                turn.await()
                inTurn = 0
            }
        }
    }
}

class ReadLimitTest :
    DescribeSpec({
        val reading = Vertx.vertx(Gateway.singleEventLoop())
        val sending = Vertx.vertx()

        suspend fun <T> onReadingLoop(block: suspend () -> T): T =
            withContext(reading.orCreateContext.dispatcher()) { block() }

        afterSpec {
            reading.close().coAwait()
            sending.close().coAwait()
        }

        describe(
            "a connection on which much has arrived is read by no more than the limit in one turn of the event loop",
        ) {
            it("if a client has opened it") {
                val count = TurnCount()
                val port =
                    onReadingLoop {
                        reading
                            .createHttpServer(HttpServerOptions().setHttp2ClearTextEnabled(false))
                            .connectionHandler { ReadLimit.applyTo(ConnectionChannels.ofServer(it)) }
                            .requestHandler { request ->
                                request.handler { count.record(it) }
                                request.endHandler { request.response().end() }
                            }.listen(0, LOOPBACK)
                            .coAwait()
                            .actualPort()
                    }
                val sent: Future<*> =
                    sending.createHttpClient().request(HttpMethod.POST, port, LOOPBACK, "/").compose { it.send(BODY) }
                onReadingLoop { count.watch(reading) { sent.isComplete } }
                sent.coAwait()
                count.total shouldBe BODY_BYTES
                count.mostInTurn shouldBeLessThanOrEqual ReadLimit.MAX_BYTES_IN_TURN
            }

            it("if this process has opened it") {
                val count = TurnCount()
                val server =
                    sending
                        .createHttpServer()
                        .requestHandler {
                            it.response().end(
                                BODY,
                            )
                        }.listen(0, LOOPBACK)
                        .coAwait()
                onReadingLoop {
                    val agent = reading.createHttpClient(HttpClientOptions().setKeepAlive(true))
                    val connection =
                        agent.connect(HttpConnectOptions().setHost(LOOPBACK).setPort(server.actualPort())).coAwait()
                    val request = connection.request(RequestOptions().setURI("/")).coAwait()
                    ReadLimit.applyTo(ConnectionChannels.ofClient(request.connection()))
                    val read =
                        request.send().compose { response ->
                            response.handler { count.record(it) }
                            response.end()
                        }
                    count.watch(reading) { read.isComplete }
                }
                count.total shouldBe BODY_BYTES
                count.mostInTurn shouldBeLessThanOrEqual ReadLimit.MAX_BYTES_IN_TURN
            }
        }
    })
