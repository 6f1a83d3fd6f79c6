package toucanrelay.core.http

/** Reads the line with which a chunk begins (RFC 9112, section 7.1). */
internal sealed interface ChunkSize {
    /** The chunk has [bytes] bytes; with none it is the last one. */
    class Of(
        val bytes: Long,
    ) : ChunkSize

    /** The line states no size that a chunk can have. */
    class Doubtful(
        val fault: FramingFault,
    ) : ChunkSize

    companion object {
        private val form = Regex("([0-9A-Fa-f]+)(?:[ \t]*;.*)?")
        private const val HEXADECIMAL = 16

        /** Readers of HTTP keep the size of a chunk in 32 bits or more. */
        private const val MAX_BYTES = Int.MAX_VALUE.toLong()

        /** Readers of HTTP bear more leading zeros than this, and no sender writes them. */
        private const val MAX_DIGITS = 16

        /** Parses [line] without its end. */
        fun parse(line: String): ChunkSize {
            val digits = form.matchEntire(line)?.groupValues?.get(1)
            if (digits == null) return Doubtful(FramingFault.INVALID_CHUNK)
            val bytes = digits.takeIf { it.length <= MAX_DIGITS }?.toLongOrNull(HEXADECIMAL)
            if (bytes == null || bytes > MAX_BYTES) return Doubtful(FramingFault.CHUNK_TOO_LARGE)
            return Of(bytes)
        }
    }
}
