package toucanrelay.core.http

/** Reads the values of `Transfer-Encoding` (RFC 9112, section 6.1). */
internal object TransferCodings {
    private const val CHUNKED = "chunked"

    /** Returns the framing that [values] state in a message of HTTP/1.1. */
    fun framingOf(values: List<String>): BodyFraming {
        val codings = values.flatMap { it.split(',') }.map { it.trim(' ', '\t').lowercase() }
        val others = codings.dropLast(1)
        return when {
            codings.last() != CHUNKED || CHUNKED in others -> BodyFraming.Doubtful(FramingFault.MISPLACED_CODING)
            others.isNotEmpty() -> BodyFraming.Doubtful(FramingFault.UNSUPPORTED_CODING)
            else -> BodyFraming.Chunked
        }
    }
}
