package toucanrelay.core.retry

/** Verifies that the parts of an answer arrive in order, without gap or overlap, across all connections used for it. */
public class AnswerProgress {
    /** Whether the head of the answer has arrived. */
    public var hasHead: Boolean = false
        private set

    /** Number of bytes of the answer body that have arrived. */
    public var offset: Long = 0
        private set

    /** Records the head; returns false if one was recorded before. */
    public fun acceptHead(): Boolean {
        if (hasHead) return false
        hasHead = true
        return true
    }

    /** Records [length] bytes at [chunkOffset]; returns false if they do not directly follow those recorded before. */
    public fun acceptChunk(chunkOffset: Long, length: Int): Boolean {
        if (!hasHead || chunkOffset != offset) return false
        offset += length
        return true
    }

    /** Returns whether the answer is complete, given the body length of [bodyBytes] stated at its end. */
    public fun isComplete(bodyBytes: Long): Boolean = hasHead && bodyBytes == offset

    /** Discards the progress before the request runs again; the caller must not have received any of the answer. */
    public fun reset() {
        hasHead = false
        offset = 0
    }
}
