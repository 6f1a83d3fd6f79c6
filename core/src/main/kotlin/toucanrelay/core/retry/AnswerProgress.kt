package toucanrelay.core.retry

/** Checks that the parts of an answer follow each other without gap or overlap, over all connections that carry them. */
public class AnswerProgress {
    /** Whether the answer's head arrived. */
    public var hasHead: Boolean = false
        private set

    /** Bytes of the answer's body that arrived. */
    public var offset: Long = 0
        private set

    /** Takes the head; false when a second one arrives or the body has begun. */
    public fun acceptHead(): Boolean {
        if (hasHead) return false
        hasHead = true
        return true
    }

    /** Takes [length] bytes that begin at [chunkOffset]; false when they do not follow what arrived before. */
    public fun acceptChunk(chunkOffset: Long, length: Int): Boolean {
        if (!hasHead || chunkOffset != offset) return false
        offset += length
        return true
    }

    /** Whether an answer whose end states [bodyBytes] has arrived whole. */
    public fun isWhole(bodyBytes: Long): Boolean = hasHead && bodyBytes == offset

    /** Forgets an answer of which the caller got nothing, before the request runs again. */
    public fun reset() {
        hasHead = false
        offset = 0
    }
}
