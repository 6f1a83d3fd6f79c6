package toucanrelay.gateway.body

/**
 * Divides the memory for answers that are kept until they are complete; confined to the event loop.
 *
 * Each answer may become as large as what is free, so that one alone gets much, many at once get less each, and there is
 * always some left for small ones (the dynamic threshold of shared buffers).
 *
 * @param maxBytes what all answers together may take.
 */
internal class AnswerMemory(
    private val maxBytes: Long,
) {
    /** What all answers take at present. */
    var keptBytes: Long = 0
        private set

    /** Returns the part of an answer of which nothing is kept yet. */
    fun newShare(): Share = Share()

    /** What one answer takes. */
    inner class Share {
        private var bytes = 0L

        /** Adds [more] bytes and returns true, or returns false if the answer would become larger than what is free. */
        fun tryAdd(more: Int): Boolean {
            if (bytes + more > maxBytes - keptBytes) return false
            bytes += more
            keptBytes += more
            return true
        }

        /** Gives back what the answer takes. */
        fun release() {
            keptBytes -= bytes
            bytes = 0
        }
    }
}
