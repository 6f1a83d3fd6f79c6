package toucanrelay.core.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun framingOf(vararg fields: String, startLine: String = "POST /x HTTP/1.1"): BodyFraming =
    MessageHead.parse(listOf(startLine) + fields)?.let { RequestFraming.of(it) }
        ?: BodyFraming.Doubtful(FramingFault.MALFORMED_LINE)

private fun doubtful(fault: FramingFault) = BodyFraming.Doubtful(fault)

/** Guards against requests inside the bodies of others, whose ends two readers find at different places. */
class RequestFramingTest :
    DescribeSpec({
        describe("a head that says where its body ends") {
            it("has no body without a length and codings") {
                framingOf("Host: a") shouldBe BodyFraming.None
                framingOf(startLine = "GET / HTTP/1.0") shouldBe BodyFraming.None
            }

            it("has a body of its one length") {
                framingOf("Content-Length: 0") shouldBe BodyFraming.Length(0)
                framingOf("content-length:\t12 ") shouldBe BodyFraming.Length(12)
                framingOf("Content-Length: 007", startLine = "POST / HTTP/1.0") shouldBe BodyFraming.Length(7)
                framingOf("Content-Length: 9223372036854775807") shouldBe BodyFraming.Length(Long.MAX_VALUE)
            }

            it("has a body in chunks if chunked is its one coding") {
                listOf("chunked", "Chunked", " chunked", "\tCHUNKED\t").forEach {
                    framingOf("transfer-encoding:$it") shouldBe BodyFraming.Chunked
                }
            }
        }

        describe("a head that leaves the end of its body in doubt") {
            it("has several lengths, or one that is no number of digits") {
                listOf("", "+1", "-1", "1 2", "1,1", "0x1", "1.0", "9223372036854775808", "\u0661").forEach {
                    framingOf("Content-Length: $it") shouldBe doubtful(FramingFault.INVALID_LENGTH)
                }
                framingOf("Content-Length: 1", "content-length: 1") shouldBe doubtful(FramingFault.INVALID_LENGTH)
            }

            it("has a length and a coding, in any order") {
                listOf("chunked", "identity", "").forEach {
                    val coding = "Transfer-Encoding: $it"
                    framingOf("Content-Length: 1", coding) shouldBe doubtful(FramingFault.LENGTH_AND_CODING)
                    framingOf(coding, "Content-Length: 1") shouldBe doubtful(FramingFault.LENGTH_AND_CODING)
                }
            }

            it("has codings that do not end with a single chunked") {
                listOf(
                    "",
                    "gzip",
                    "identity",
                    "chunked, gzip",
                    "chunked,",
                    "chunked, chunked",
                    "chunked;a=1",
                    "xchunked",
                ).forEach { framingOf("Transfer-Encoding: $it") shouldBe doubtful(FramingFault.MISPLACED_CODING) }
                framingOf("Transfer-Encoding: chunked", "Transfer-Encoding: identity") shouldBe
                    doubtful(FramingFault.MISPLACED_CODING)
            }

            it("has codings beside chunked, an empty one too") {
                listOf("gzip, chunked", "identity,chunked", ", chunked").forEach {
                    framingOf("Transfer-Encoding: $it") shouldBe doubtful(FramingFault.UNSUPPORTED_CODING)
                }
                framingOf("Transfer-Encoding: gzip", "Transfer-Encoding: chunked") shouldBe
                    doubtful(FramingFault.UNSUPPORTED_CODING)
            }

            it("has a coding in HTTP/1.0") {
                framingOf("Transfer-Encoding: chunked", startLine = "POST / HTTP/1.0") shouldBe
                    doubtful(FramingFault.CODING_IN_OLD_VERSION)
            }

            it("has another version of HTTP") {
                listOf("HTTP/2.0", "HTTP/2", "HTTP/0.9", "HTTP/1.2").forEach {
                    framingOf(startLine = "GET / $it") shouldBe doubtful(FramingFault.UNSUPPORTED_VERSION)
                }
            }

            it("has a malformed start line") {
                listOf(
                    "GET /",
                    "GET  / HTTP/1.1",
                    "GET / x HTTP/1.1",
                    "GET / http/1.1",
                    "GET / HTTP/1.1 ",
                    " GET / HTTP/1.1",
                    "G(T / HTTP/1.1",
                ).forEach { framingOf(startLine = it) shouldBe doubtful(FramingFault.MALFORMED_LINE) }
            }

            it("has a malformed or folded field") {
                listOf(
                    "Content-Length : 1",
                    " chunked",
                    "\tchunked",
                    ": a",
                    "name",
                    "Content\u00E9: 1",
                    "a b: 1",
                ).forEach {
                    framingOf("Host: a", it) shouldBe doubtful(FramingFault.MALFORMED_LINE)
                }
            }
        }
    })
