package toucanrelay.core.http

/** Reads the values of `Content-Length` (RFC 9110, section 8.6). */
internal object ContentLength {
    private val digits = Regex("[0-9]+")

    /** Returns the framing that [values] state. */
    fun framingOf(values: List<String>): BodyFraming {
        val bytes = values.singleOrNull()?.takeIf { digits.matches(it) }?.toLongOrNull()
        return bytes?.let { BodyFraming.Length(it) } ?: BodyFraming.Doubtful(FramingFault.INVALID_LENGTH)
    }
}
