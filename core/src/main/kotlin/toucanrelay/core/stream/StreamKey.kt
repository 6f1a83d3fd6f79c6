package toucanrelay.core.stream

import toucanrelay.core.identity.StableHash

/**
 * Identifies a stream over all requests that resume it.
 *
 * @property value hash of the id of the request whose answer brought the stream's first event.
 */
@JvmInline
public value class StreamKey(
    public val value: Long,
) {
    public companion object {
        /** Returns the key of the stream whose first event the answer to the request [requestId] brought. */
        public fun of(requestId: String): StreamKey = StreamKey(StableHash.of(requestId))
    }
}
