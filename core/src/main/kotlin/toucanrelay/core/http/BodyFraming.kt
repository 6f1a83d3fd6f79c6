package toucanrelay.core.http

/** How the end of a message's body is found (RFC 9112, section 6.3). */
public sealed interface BodyFraming {
    /** The message ends with its head. */
    public data object None : BodyFraming

    /** The message is an informational response, which another head follows. */
    public data object AnotherHead : BodyFraming

    /** The body has [bytes] bytes. */
    public data class Length(
        public val bytes: Long,
    ) : BodyFraming

    /** The body is sent in chunks, the last of which is empty. */
    public data object Chunked : BodyFraming

    /** The body ends with the connection. */
    public data object UntilClose : BodyFraming

    /** The end of the message is in doubt because of [fault]. */
    public data class Doubtful(
        public val fault: FramingFault,
    ) : BodyFraming
}
