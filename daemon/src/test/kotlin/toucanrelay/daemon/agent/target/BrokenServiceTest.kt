package toucanrelay.daemon.agent.target

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.withTimeout
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.core.time.MonotonicClock
import toucanrelay.daemon.agent.TEST_TIMEOUT_MILLISECONDS
import toucanrelay.daemon.agent.TestEntry
import toucanrelay.daemon.agent.work.AnswerBuffer
import toucanrelay.wire.ProcessIdentity
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** More than the buffers of both ends hold. */
private const val UPLOAD_BYTES = 4_000_000
private const val DELIVERY_MILLISECONDS = 50L

/** A plain service that writes [answer] as it is to the first connection, and then lets [end] end it. */
private class RawService(
    private val answer: String,
    private val end: (Socket) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    val url = "http://127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true, name = "raw-service") {
            server.accept().use { socket ->
                socket.getInputStream().read()
                socket.getOutputStream().write(answer.toByteArray())
                socket.getOutputStream().flush()
                // The answer has to arrive before a reset, which discards what is under way.
                Thread.sleep(DELIVERY_MILLISECONDS)
                end(socket)
                Thread.sleep(DELIVERY_MILLISECONDS)
            }
        }
    }

    override fun close() = server.close()
}

private suspend fun outcomeOf(body: String, answer: String, end: (Socket) -> Unit): TargetOutcome {
    val vertx = Vertx.vertx()
    return try {
        RawService(answer, end).use { service ->
            val client = ServiceClient(TargetConnection(vertx, service.url))
            val request = TestEntry(ProcessIdentity.getDefaultInstance()).serviceRequest("broken", "POST", "/x", body)
            withTimeout(TEST_TIMEOUT_MILLISECONDS) { client.execute(request, AnswerBuffer(MonotonicClock)) }
        }
    } finally {
        vertx.close().coAwait()
    }
}

/** Guards against parts of answers, and answers with a status that no final answer has, told to be complete. */
class BrokenServiceTest :
    DescribeSpec({
        fun shouldBeLost(outcome: TargetOutcome) {
            withClue(outcome) {
                outcome.shouldBeInstanceOf<TargetOutcome.PossiblyExecuted>().reason shouldBe RefusalReason.ANSWER_LOST
            }
        }

        describe("a plain service that answers a long upload without a length") {
            mapOf<String, (Socket) -> Unit>(
                "resets the connection" to { it.setSoLinger(true, 0) },
                "ends its sending and then resets the connection" to { it.shutdownOutput() },
            ).forEach { (what, end) ->
                it("has not answered if it $what while the upload is sent") {
                    shouldBeLost(outcomeOf("u".repeat(UPLOAD_BYTES), "HTTP/1.1 200 OK\r\n\r\npart", end))
                }
            }
        }

        describe("a plain service that answers with an odd status") {
            listOf("000", "20", "101", "199", "600", "2000").forEach { status ->
                it("has not answered with status $status") {
                    shouldBeLost(outcomeOf("body", "HTTP/1.1 $status Odd\r\nContent-Length: 4\r\n\r\nodd!") { })
                }
            }
        }

        // Guards against a part of an answer that is told to be a whole one.
        describe("a plain service with an answer whose end is in doubt") {
            listOf(
                "Transfer-Encoding: chunked\r\n\r\n100000000\r\n\r\nwhole\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked, gzip\r\n\r\nwhole",
            ).forEach { answer ->
                it("has not answered: ${answer.filter { !it.isWhitespace() }}") {
                    shouldBeLost(outcomeOf("x", "HTTP/1.1 200 OK\r\n$answer") { it.shutdownOutput() })
                }
            }
        }
    })
