package toucanrelay.core.http

/**
 * Decides from a request's head where its body ends (RFC 9112, sections 6 and 7).
 *
 * Only what every reader between caller and target reads alike is accepted. A reader that disagrees takes a part of the
 * body for the next request, or the next request for a part of the body.
 *
 * | head | body |
 * | --- | --- |
 * | neither `Content-Length` nor `Transfer-Encoding` | none |
 * | one `Content-Length` of digits, up to 2^63 - 1 | so many bytes |
 * | several, or any other `Content-Length` | doubtful: [FramingFault.INVALID_LENGTH] |
 * | HTTP/1.1, one `Transfer-Encoding: chunked`, in any case | in chunks |
 * | both headers | doubtful: [FramingFault.LENGTH_AND_CODING] |
 * | `Transfer-Encoding` in HTTP/1.0 | doubtful: [FramingFault.CODING_IN_OLD_VERSION] |
 * | other codings before one last `chunked` | doubtful: [FramingFault.UNSUPPORTED_CODING] |
 * | any other `Transfer-Encoding`, an empty one too | doubtful: [FramingFault.MISPLACED_CODING] |
 * | another version than HTTP/1.0 and HTTP/1.1 | doubtful: [FramingFault.UNSUPPORTED_VERSION] |
 * | a start line or field that is malformed or folded | doubtful: [FramingFault.MALFORMED_LINE] |
 */
public object RequestFraming {
    private val startLine = Regex("[!#$%&'*+\\-.^_`|~0-9A-Za-z]+ [^ \t]+ HTTP/([0-9]+(?:\\.[0-9]+)?)")

    /** Returns how the body of the request with [head] ends. */
    public fun of(head: MessageHead): BodyFraming {
        val version = startLine.matchEntire(head.startLine)?.groupValues?.get(1)
        return when (version) {
            null -> BodyFraming.Doubtful(FramingFault.MALFORMED_LINE)
            "1.0", "1.1" -> framingOf(head, version == "1.0")
            else -> BodyFraming.Doubtful(FramingFault.UNSUPPORTED_VERSION)
        }
    }

    private fun framingOf(head: MessageHead, isOldVersion: Boolean): BodyFraming {
        val codings = head.values("Transfer-Encoding")
        val lengths = head.values("Content-Length")
        return when {
            codings.isEmpty() && lengths.isEmpty() -> BodyFraming.None
            codings.isEmpty() -> ContentLength.framingOf(lengths)
            lengths.isNotEmpty() -> BodyFraming.Doubtful(FramingFault.LENGTH_AND_CODING)
            isOldVersion -> BodyFraming.Doubtful(FramingFault.CODING_IN_OLD_VERSION)
            else -> TransferCodings.framingOf(codings)
        }
    }
}
