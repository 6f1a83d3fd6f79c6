package toucanrelay.core.http

/**
 * Reasons for which it is in doubt where a message ends, so that nothing after its start can be taken for a message.
 *
 * @property detail text for logs.
 */
public enum class FramingFault(
    public val detail: String,
) {
    /** A line does not end with a carriage return and a line feed, is folded, or is no valid line of its kind. */
    MALFORMED_LINE("malformed line"),

    /** The head or the trailers exceed the limit on their size. */
    HEAD_TOO_LARGE("head too large"),

    /** The message has a version of HTTP other than 1.0 and 1.1. */
    UNSUPPORTED_VERSION("unsupported version of HTTP"),

    /** There are several lengths, or one that is not a number of digits. */
    INVALID_LENGTH("invalid length"),

    /** A request states both a length and transfer codings. */
    LENGTH_AND_CODING("both a length and a transfer coding"),

    /** A message of HTTP/1.0, which has no transfer codings, states one. */
    CODING_IN_OLD_VERSION("transfer coding in HTTP/1.0"),

    /** The last transfer coding is not `chunked`, or another one is, so that the end of the body is not stated. */
    MISPLACED_CODING("transfer codings do not end with a single chunked"),

    /** The body has transfer codings beside `chunked`. */
    UNSUPPORTED_CODING("unsupported transfer coding"),

    /** A chunk does not have the form of one. */
    INVALID_CHUNK("invalid chunk"),

    /** A chunk is larger than any body that is accepted. */
    CHUNK_TOO_LARGE("chunk too large"),
}
