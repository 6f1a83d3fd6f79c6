package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import toucanrelay.platform.standin.ReceivedResponse

private const val PARALLEL_REQUESTS = 4

/** A reset takes time, so that not every byte is tried. */
private const val BYTES_BETWEEN_RESETS = 5
private val CUT_AFTER = Regex("cut-(\\d+)-")

/**
 * An answer whose head a target sends in part.
 *
 * @property headers the header lines after the status line; ID stands for the id of the request.
 * @property isFramed whether the head says how long the body is.
 */
private enum class CutAnswer(
    val path: String,
    val headers: List<String>,
    val isFramed: Boolean = true,
) {
    LENGTH_LAST("/orders/x", listOf("X-Request-Id: ID", "X-Response-Seal: s", "Content-Length: 12")),
    LENGTH_FIRST("/orders/x", listOf("Content-Length: 12", "X-Request-Id: ID", "X-Response-Seal: s")),
    CHUNKED("/orders/x", listOf("X-Request-Id: ID", "X-Response-Seal: s", "Transfer-Encoding: chunked")),
    STREAM(
        "/chats/x",
        listOf(
            "X-Request-Id: ID",
            "X-Response-Seal: s",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ),
    ),
    UNFRAMED("/orders/x", listOf("X-Request-Id: ID", "X-Response-Seal: s"), isFramed = false),
    UNFRAMED_STREAM(
        "/chats/x",
        listOf("X-Request-Id: ID", "X-Response-Seal: s", "Content-Type: text/event-stream"),
        isFramed = false,
    ),
    ;

    fun head(id: String) = "HTTP/1.1 200 OK\r\n" + headers.joinToString("") { "$it\r\n" }.replace("ID", id) + "\r\n"

    /** Ids of requests, each with the number of bytes after which its answer is cut: within the head or right after it. */
    val ids: List<String>
        get() {
            val length = head(idOf(0)).length
            return (0..if (isFramed) length else length - 1).map { idOf(it) }
        }

    private fun idOf(cutAfter: Int) = "cut-${"%03d".format(cutAfter)}-x"
}

class CutHeadTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture
        lateinit var targets: List<KeptTargetStandIn>

        suspend fun start(answer: CutAnswer, end: KeptExchange.() -> Unit) {
            fixture = GatewayFixture()
            fixture.start()
            targets =
                List(2) {
                    KeptTargetStandIn { exchange ->
                        val cutAfter = checkNotNull(CUT_AFTER.find(exchange.id)).groupValues[1].toInt()
                        exchange.write(answer.head(exchange.id).take(cutAfter))
                        exchange.end()
                    }
                }
            fixture.replaceTargets(targets)
        }

        /** Returns the answer to a request, which is sent until it is not refused; null if its connection was closed. */
        suspend fun answerTo(path: String, id: String): ReceivedResponse? {
            while (true) {
                val answer = runCatching { fixture.send(path, id = id) }.getOrNull()
                if (answer?.status != 503) return answer
            }
        }

        /** Returns the requests with [ids] whose callers got a whole answer of status 200. */
        suspend fun answeredWhole(path: String, ids: List<String>): List<String> =
            coroutineScope {
                val permits = Semaphore(PARALLEL_REQUESTS)
                ids
                    .map { id -> async { permits.withPermit { id.takeIf { answerTo(path, id)?.status == 200 } } } }
                    .awaitAll()
                    .filterNotNull()
            }

        afterEach {
            fixture.kill()
            targets.forEach { it.stop() }
        }

        describe("an answer whose head its target does not complete, or with nothing after it") {
            CutAnswer.entries.forEach { answer ->
                it("never reaches the caller as whole if the connection is closed: $answer") {
                    start(answer) { closeAtOnce() }
                    answeredWhole(answer.path, answer.ids).shouldBeEmpty()
                    targets.flatMap { it.received }.map { it.id } shouldContainExactlyInAnyOrder answer.ids
                }

                it("never reaches the caller as whole if the connection is reset: $answer") {
                    val ids = answer.ids.filterIndexed { index, _ -> index % BYTES_BETWEEN_RESETS == 0 }
                    start(answer) { reset() }
                    answeredWhole(answer.path, ids).shouldBeEmpty()
                    targets.flatMap { it.received }.map { it.id } shouldContainExactlyInAnyOrder ids
                }
            }

            it("is no answer to a request that may run again either, which goes to the other target") {
                start(CutAnswer.LENGTH_LAST) { closeAtOnce() }
                answeredWhole("/calls/x", listOf("cut-040-x")).shouldBeEmpty()
                targets.map { target -> target.received.map { it.id } } shouldContainExactly
                    List(2) { listOf("cut-040-x") }
            }

            it("is a failure without a promise to the caller of a request that must not run again") {
                start(CutAnswer.LENGTH_LAST) { closeAtOnce() }
                answerTo("/orders/x", "cut-040-x")?.status shouldBe 502
            }
        }
    })
