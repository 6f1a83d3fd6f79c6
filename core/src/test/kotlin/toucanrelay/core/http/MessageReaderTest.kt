package toucanrelay.core.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.random.Random

private const val MAX_HEAD_BYTES = 400
private const val HEAD = "POST /x HTTP/1.1\r\nHost: a\r\n"
private const val CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
private const val SEED = 60L

/** Fragments of messages, most of which make no sense together. */
private val FRAGMENTS =
    listOf(
        HEAD,
        "\r\n",
        "Content-Length: 7\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
        "5\r\nhello\r\n",
        "0\r\n",
        "0\r\n\r\n",
        "7;a=b\r\nmessage\r\n",
        "100000000\r\n",
        "message",
        "\n",
        "\r",
        "a: b\r\n",
        " fold\r\n",
        "Content-Length: 3\r\n",
    )

private fun newReader() = MessageReader(MAX_HEAD_BYTES) { RequestFraming.of(it) }

/** Reads [text] in [pieces], and returns what the reader knows at the end and how far it came. */
private fun outcomeOf(pieces: List<String>): List<Any?> {
    val reader = newReader()
    var length = 0
    for (piece in pieces) {
        length += reader.read(TextBytes(piece), 0)
        if (reader.isComplete || reader.fault != null) break
    }
    return listOf(length, reader.isComplete, reader.fault, reader.isHeadDecided, reader.undecidedBytes)
}

private fun faultOf(text: String): FramingFault? = newReader().also { it.read(TextBytes(text), 0) }.fault

private fun lengthOf(message: String): Int {
    val reader = newReader()
    val length = reader.read(TextBytes(message + "GET / HTTP/1.1\r\n\r\n"), 0)
    reader.isComplete shouldBe true
    return length
}

/** Cuts [text] at places that [random] chooses. */
private fun cut(text: String, random: Random): List<String> {
    val places = List(random.nextInt(1, 6)) { random.nextInt(text.length + 1) }.sorted()
    return (listOf(0) + places + text.length).zipWithNext { start, end -> text.substring(start, end) }
}

/** Guards against bytes of one message that are read as another one. */
class MessageReaderTest :
    DescribeSpec({
        it("ends a message at its last byte, whatever follows") {
            listOf(
                HEAD + "\r\n",
                "\r\n" + HEAD + "\r\n",
                HEAD + "Content-Length: 5\r\n\r\nhello",
                CHUNKED + "0\r\n\r\n",
                CHUNKED + "5\r\nhello\r\nA;name=\"value\"\r\n0123456789\r\n000\r\nTrailer: a\r\n\r\n",
            ).forEach { lengthOf(it) shouldBe it.length }
        }

        it("is in doubt about lines that do not end as they should or have control characters") {
            faultOf("POST /x HTTP/1.1\nHost: a\r\n\r\n") shouldBe FramingFault.MALFORMED_LINE
            faultOf(HEAD + "a: b\rc\r\n\r\n") shouldBe FramingFault.MALFORMED_LINE
            faultOf(HEAD + "a: b\u0000\r\n\r\n") shouldBe FramingFault.MALFORMED_LINE
            faultOf(CHUNKED + "0\r\nfolded\r\n") shouldBe FramingFault.MALFORMED_LINE
        }

        it("is in doubt about chunks whose sizes or ends are none") {
            listOf("", "-1", "+1", "0x1", "g", "1 1", "1 ", " 1", "1\r\nab\r\n", "1\r\na\n", "1\n").forEach {
                faultOf(CHUNKED + it + "\r\n") shouldBe FramingFault.INVALID_CHUNK
            }
            faultOf(CHUNKED + "1;" + "a".repeat(5_000)) shouldBe FramingFault.INVALID_CHUNK
        }

        it("is in doubt about a chunk whose size exceeds 31 bits") {
            listOf("80000000", "100000000", "10000000000000000", "ffffffffffffffff", "0".repeat(17) + "5").forEach {
                faultOf("$CHUNKED$it\r\n") shouldBe FramingFault.CHUNK_TOO_LARGE
            }
            faultOf("${CHUNKED}7fffffff\r\n") shouldBe null
        }

        it("limits the sizes of the head and the trailers") {
            faultOf("\r\n".repeat(MAX_HEAD_BYTES)) shouldBe FramingFault.HEAD_TOO_LARGE
            faultOf("a".repeat(MAX_HEAD_BYTES + 1)) shouldBe FramingFault.HEAD_TOO_LARGE
            faultOf(CHUNKED + "0\r\n" + "a: b\r\n".repeat(MAX_HEAD_BYTES)) shouldBe FramingFault.HEAD_TOO_LARGE
        }

        it("finds the same end in whatever pieces the bytes arrive") {
            val random = Random(SEED)
            checkAll(PropTestConfig(seed = SEED), Arb.list(Arb.element(FRAGMENTS), 1..8)) { fragments ->
                val text = fragments.joinToString("")
                val whole = outcomeOf(listOf(text))
                repeat(4) { outcomeOf(cut(text, random)) shouldBe whole }
            }
        }
    })
