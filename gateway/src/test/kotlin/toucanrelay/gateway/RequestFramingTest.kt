package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import toucanrelay.gateway.http.RawCaller
import toucanrelay.platform.standin.ConfigurationDocumentBuilder
import java.net.SocketException

private const val INNER_ID = "inner"
private const val OUTER_ID = "outer"

private fun head(id: String, vararg fields: String, version: String = "1.1") =
    (
        listOf("POST /orders/x HTTP/$version", "Host: ${ConfigurationDocumentBuilder.HOST}", "X-Key: $KEY") +
            listOf("X-Request-Id: $id", "X-Deadline-Ms: 5000") + fields
    ).joinToString("") { "$it\r\n" } + "\r\n"

private val INNER = head(INNER_ID, "Content-Length: 0")

/** A body that ends at once if it is read in chunks, and whose rest is a request. */
private val CHUNKED_INNER = "0\r\n\r\n$INNER"
private val LENGTH = "Content-Length: ${CHUNKED_INNER.length}"

/** A request with another one inside, which a reader finds that takes no notice of a part of the framing. */
private class Doubtful(
    val name: String,
    val status: Int,
    val text: String,
)

private fun doubtfulHead(
    status: Int,
    vararg fields: String,
    version: String = "1.1",
    rest: String = CHUNKED_INNER,
) = Doubtful(
    "${fields.joinToString().replace("\r\n", "\\r\\n")} in HTTP/$version",
    status,
    head(OUTER_ID, *fields, version = version) + rest,
)

private fun doubtfulChunk(status: Int, frame: String) =
    Doubtful(
        "chunk ${frame.take(20).trim()}",
        status,
        head(OUTER_ID, "Transfer-Encoding: chunked") + frame + "\r\n" + INNER,
    )

private val DOUBTFUL_HEADS =
    listOf(
        doubtfulHead(400, "Transfer-Encoding: chunked", LENGTH),
        doubtfulHead(400, LENGTH, "Transfer-Encoding: identity, chunked"),
        doubtfulHead(400, LENGTH, "Transfer-Encoding: chunked, identity"),
        doubtfulHead(400, LENGTH, "Transfer-Encoding: chunked", "Transfer-Encoding: identity"),
        doubtfulHead(400, LENGTH, "transfer-encoding:\tCHUNKED"),
        doubtfulHead(400, LENGTH, "Transfer-Encoding:\r\n chunked"),
        doubtfulHead(400, LENGTH, "Transfer-Encoding: , chunked"),
        doubtfulHead(400, LENGTH, "Transfer-Encoding: chunked", "Connection: Content-Length"),
        doubtfulHead(400, LENGTH, "Transfer-Encoding: chunked", "Connection: Transfer-Encoding"),
        doubtfulHead(400, LENGTH, "Transfer-Encoding: chunked", version = "1.0"),
        doubtfulHead(400, "Transfer-Encoding: chunked", version = "1.0"),
        doubtfulHead(501, "Transfer-Encoding: gzip, chunked"),
        doubtfulHead(400, "Transfer-Encoding: gzip", rest = INNER),
        doubtfulHead(400, "Transfer-Encoding: identity", rest = INNER),
        doubtfulHead(400, "Transfer-Encoding: unknown", rest = INNER),
        doubtfulHead(400, "Transfer-Encoding:", rest = INNER),
        doubtfulHead(400, "Transfer-Encoding: chunked;a=b", rest = INNER),
        doubtfulHead(400, "Content-Length: 0", "Content-Length: 5", rest = INNER),
        doubtfulHead(505, "Content-Length: 0", version = "1.2", rest = INNER),
    )

private val DOUBTFUL_CHUNKS =
    listOf("80000000", "100000000", "10000000000000000").map { doubtfulChunk(413, "$it\r\n") } +
        listOf("-1", "0x0", "z", "1\r\nab").map { doubtfulChunk(400, it) }

private val SOUND =
    listOf(
        "a length" to head(OUTER_ID, "Content-Length: 4") + "body",
        "a length that Connection names" to head(OUTER_ID, "Content-Length: 4", "Connection: Content-Length") + "body",
        "chunks" to head(OUTER_ID, "transfer-encoding: Chunked") + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        "extensions and trailers" to
            head(OUTER_ID, "Transfer-Encoding: chunked") + "004;a=\"b\"\r\nbody\r\n0;c\r\nX-Trailer: d\r\n\r\n",
        "a length in HTTP/1.0" to
            head(OUTER_ID, "Content-Length: 4", "Connection: keep-alive", version = "1.0") + "body",
    )

/** Reads answers until the connection ends; fails if it does not. */
private fun RawCaller.readAll(): List<Int> =
    generateSequence {
        try {
            read()
        } catch (_: SocketException) {
            null
        }
    }.map { it.status }.toList()

/** Guards against a request inside another one that a target runs, as two readers find the end of the outer one apart. */
class RequestFramingTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture

        fun receivedIds() = fixture.targets.flatMap { target -> target.receivedRequests.map { it.id } }

        fun exchange(vararg pieces: String): List<Int> =
            RawCaller(fixture.callersPort).use { caller ->
                pieces.forEach { caller.write(it) }
                caller.readAll()
            }

        beforeSpec {
            fixture = GatewayFixture()
            fixture.start()
        }

        beforeEach { fixture.targets.forEach { it.receivedRequests.clear() } }

        afterSpec { fixture.kill() }

        (DOUBTFUL_HEADS + DOUBTFUL_CHUNKS).forEach { doubtful ->
            it("is refused and ends its connection: ${doubtful.name}") {
                exchange(doubtful.text) shouldContainExactly listOf(doubtful.status)
                receivedIds().shouldBeEmpty()
            }
        }

        mapOf(
            "a doubtful head" to DOUBTFUL_HEADS.first().text,
            "a doubtful chunk" to DOUBTFUL_CHUNKS.first().text,
            "a head without end" to "X-Note: ${"a".repeat(90_000)}",
        ).forEach { (what, text) ->
            it("is told that its connection is closed after $what") {
                RawCaller(fixture.callersPort).use { caller ->
                    caller.write(text)
                    caller.read()?.headers?.get("connection") shouldBe "close"
                }
            }
        }

        it("is refused after the answer to a sound request in the same bytes") {
            val sound = head("first", "Content-Length: 4") + "body"
            exchange(sound + DOUBTFUL_HEADS.first().text) shouldContainExactly listOf(200, 400)
            exchange(sound + DOUBTFUL_CHUNKS.first().text) shouldContainExactly listOf(200, 413)
            receivedIds() shouldContainExactly listOf("first", "first")
        }

        it("is refused in whatever pieces it arrives") {
            val text = DOUBTFUL_HEADS.first().text
            (1 until text.length step 7).forEach { cut ->
                exchange(text.take(cut), text.drop(cut)) shouldContainExactly listOf(400)
            }
            receivedIds().shouldBeEmpty()
        }

        SOUND.forEach { (name, text) ->
            it("is served whole with $name, and so is the next one on its connection") {
                RawCaller(fixture.callersPort).use { caller ->
                    caller.write(text + text.replace(OUTER_ID, "next"))
                    repeat(2) { caller.read()?.status shouldBe 200 }
                }
                val received = fixture.targets.flatMap { it.receivedRequests }
                received.map { it.id }.toSet() shouldBe setOf(OUTER_ID, "next")
                received.map { it.body } shouldBe listOf("body", "body")
            }
        }
    })
