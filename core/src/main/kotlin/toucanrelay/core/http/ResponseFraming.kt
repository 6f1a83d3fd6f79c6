package toucanrelay.core.http

/**
 * Decides from a response's head where its body ends (RFC 9112, sections 6 and 7).
 *
 * | head | body |
 * | --- | --- |
 * | status 100 to 199 but for 101 | none, and another head follows |
 * | status 204 or 304, or the request was `HEAD` | none |
 * | HTTP/1.1, one `Transfer-Encoding: chunked`, in any case, whatever `Content-Length` says | in chunks |
 * | `Transfer-Encoding` in HTTP/1.0 | doubtful: [FramingFault.CODING_IN_OLD_VERSION] |
 * | other codings before one last `chunked` | doubtful: [FramingFault.UNSUPPORTED_CODING] |
 * | any other `Transfer-Encoding`, an empty one too | doubtful: [FramingFault.MISPLACED_CODING] |
 * | one `Content-Length` of digits, up to 2^63 - 1 | so many bytes |
 * | several, or any other `Content-Length` | doubtful: [FramingFault.INVALID_LENGTH] |
 * | neither header | until the connection ends |
 * | another version than HTTP/1.0 and HTTP/1.1 | doubtful: [FramingFault.UNSUPPORTED_VERSION] |
 * | a start line or field that is malformed or folded | doubtful: [FramingFault.MALFORMED_LINE] |
 */
public object ResponseFraming {
    private val startLine = Regex("HTTP/([0-9]+(?:\\.[0-9]+)?) ([0-9]{3})(?: .*)?")
    private val informationalStatuses = 100..199
    private const val STATUS_SWITCHING_PROTOCOLS = 101

    /**
     * Returns how the body of the response with [head] ends.
     *
     * @param isToHeadRequest whether the response answers a `HEAD` request, so that its headers describe no body.
     */
    public fun of(head: MessageHead, isToHeadRequest: Boolean): BodyFraming {
        val parts = startLine.matchEntire(head.startLine)?.groupValues
        val version = parts?.get(1)
        val status = parts?.get(2)?.toInt()
        return when {
            version == null || status == null -> BodyFraming.Doubtful(FramingFault.MALFORMED_LINE)
            version != "1.0" && version != "1.1" -> BodyFraming.Doubtful(FramingFault.UNSUPPORTED_VERSION)
            status == STATUS_SWITCHING_PROTOCOLS -> BodyFraming.UntilClose
            status in informationalStatuses -> BodyFraming.AnotherHead
            isToHeadRequest || !ResponseStatus.hasBody(status) -> BodyFraming.None
            else -> framingOf(head, version == "1.0")
        }
    }

    private fun framingOf(head: MessageHead, isOldVersion: Boolean): BodyFraming {
        val codings = head.values("Transfer-Encoding")
        val lengths = head.values("Content-Length")
        return when {
            codings.isNotEmpty() && isOldVersion -> BodyFraming.Doubtful(FramingFault.CODING_IN_OLD_VERSION)
            codings.isNotEmpty() -> TransferCodings.framingOf(codings)
            lengths.isNotEmpty() -> ContentLength.framingOf(lengths)
            else -> BodyFraming.UntilClose
        }
    }
}
