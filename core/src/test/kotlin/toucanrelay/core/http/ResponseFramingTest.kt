package toucanrelay.core.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun framingOf(vararg fields: String, startLine: String = "HTTP/1.1 200 OK", toHead: Boolean = false) =
    ResponseFraming.of(checkNotNull(MessageHead.parse(listOf(startLine) + fields)), toHead)

private fun doubtful(fault: FramingFault) = BodyFraming.Doubtful(fault)

/** Guards against a part of an answer that is taken for the whole one. */
class ResponseFramingTest :
    DescribeSpec({
        it("ends a response without a body with its head") {
            framingOf("Content-Length: 5", startLine = "HTTP/1.1 304 Not Modified") shouldBe BodyFraming.None
            framingOf("Transfer-Encoding: chunked", startLine = "HTTP/1.1 204 No Content") shouldBe BodyFraming.None
            framingOf("Content-Length: 5", toHead = true) shouldBe BodyFraming.None
        }

        it("expects another head after an informational response") {
            framingOf(startLine = "HTTP/1.1 100 Continue") shouldBe BodyFraming.AnotherHead
            framingOf(startLine = "HTTP/1.1 101 Switching Protocols") shouldBe BodyFraming.UntilClose
        }

        it("takes chunks before a length, and the end of the connection without either") {
            framingOf("Transfer-Encoding: Chunked", "Content-Length: 5") shouldBe BodyFraming.Chunked
            framingOf("Content-Length: 5") shouldBe BodyFraming.Length(5)
            framingOf(startLine = "HTTP/1.0 000") shouldBe BodyFraming.UntilClose
        }

        it("is in doubt about other codings and lengths") {
            framingOf("Transfer-Encoding: identity") shouldBe doubtful(FramingFault.MISPLACED_CODING)
            framingOf("Transfer-Encoding: gzip, chunked") shouldBe doubtful(FramingFault.UNSUPPORTED_CODING)
            framingOf("Content-Length: 1", "Content-Length: 2") shouldBe doubtful(FramingFault.INVALID_LENGTH)
            framingOf("Transfer-Encoding: chunked", startLine = "HTTP/1.0 200 OK") shouldBe
                doubtful(FramingFault.CODING_IN_OLD_VERSION)
        }

        it("is in doubt about a start line that is none") {
            framingOf(startLine = "HTTP/1.1 20 OK") shouldBe doubtful(FramingFault.MALFORMED_LINE)
            framingOf(startLine = "HTTP/3 200 OK") shouldBe doubtful(FramingFault.UNSUPPORTED_VERSION)
        }
    })
