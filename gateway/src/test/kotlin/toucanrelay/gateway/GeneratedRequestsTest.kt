package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.netty.buffer.Unpooled
import toucanrelay.core.http.MessageReader
import toucanrelay.core.http.RequestFraming
import toucanrelay.gateway.http.RawCaller
import toucanrelay.http.ReceivedBuffer
import toucanrelay.platform.standin.ConfigurationDocumentBuilder
import java.net.SocketException
import kotlin.random.Random

private const val SEED = 60
private const val CONNECTIONS = 150
private const val MAX_HEAD_BYTES = 65_536

/** Lines of heads, of which a request gets up to two; most leave its end in doubt if it gets both. */
private val FRAMING_LINES =
    listOf(
        "Content-Length: 4",
        "Content-Length: 0",
        "Content-Length: +4",
        "content-length:4",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding:\tChunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding:",
        "Transfer-Encoding:\r\n chunked",
        "Connection: Content-Length",
        "Connection: Transfer-Encoding",
        "X-Note: a",
    )

private val BODIES =
    listOf(
        "",
        "body",
        "4\r\nbody\r\n0\r\n\r\n",
        "0\r\n\r\n",
        "4;a=b\r\nbody\r\n0\r\nX-Trailer: a\r\n\r\n",
        "100000000\r\n",
        "100000000\r\n\r\n",
        "zz\r\n",
    )

/** Makes requests that often stand inside the bodies of others, and gives each its own id. */
private class RequestGenerator(
    private val random: Random,
) {
    private var requests = 0

    /** Returns the bytes that a caller writes to a connection. */
    fun connection(): String = List(random.nextInt(1, 4)) { request() }.joinToString("")

    private fun request(): String {
        val version = if (random.nextInt(8) == 0) "1.0" else "1.1"
        val lines = List(random.nextInt(3)) { FRAMING_LINES.random(random) }
        val fields =
            listOf("Host: ${ConfigurationDocumentBuilder.HOST}", "X-Key: $KEY", "X-Request-Id: id-${requests++}") +
                listOf("X-Deadline-Ms: 5000", "Connection: keep-alive") + lines
        val head = "POST /orders/x HTTP/$version\r\n" + fields.joinToString("") { "$it\r\n" } + "\r\n"
        return head + BODIES.random(random)
    }
}

/** What one reading of a connection's bytes finds on it. */
private class Reading(
    val ids: List<String>,
    val isCutByFault: Boolean,
) {
    companion object {
        fun of(text: String): Reading {
            val ids = ArrayList<String>()
            var position = 0
            val received = ReceivedBuffer(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
            while (position < received.size) {
                val reader = MessageReader(MAX_HEAD_BYTES) { RequestFraming.of(it) }
                position = reader.read(received, position)
                if (!reader.isComplete) return Reading(ids, reader.fault != null)
                ids += checkNotNull(reader.head).values("X-Request-Id").single()
            }
            return Reading(ids, isCutByFault = false)
        }
    }
}

/** Guards against bytes that the gateway takes for other requests than the one reading that its table allows. */
class GeneratedRequestsTest :
    DescribeSpec({
        it("runs those requests that one reading of the bytes finds, and nothing else") {
            val fixture = GatewayFixture()
            fixture.start()
            val generator = RequestGenerator(Random(SEED))
            val expected = ArrayList<String>()
            repeat(CONNECTIONS) {
                val text = generator.connection()
                val reading = Reading.of(text)
                expected += reading.ids
                RawCaller(fixture.callersPort).use { caller ->
                    caller.write(text)
                    repeat(reading.ids.size) { caller.read()?.status shouldBe 200 }
                    if (reading.isCutByFault) caller.awaitRefusalAndEnd()
                }
            }
            fixture.targets.flatMap { target -> target.receivedRequests.map { it.id } }.sorted() shouldBe
                expected.sorted()
            fixture.kill()
        }
    })

/** Reads the refusal, unless the end of the connection has discarded it, and then the end. */
private fun RawCaller.awaitRefusalAndEnd() {
    try {
        read()?.let { it.status / 100 shouldNotBe 2 }
        read() shouldBe null
    } catch (_: SocketException) {
        return
    }
}
