package toucanrelay.core.http

/** A line of a message's head that has a name and a value without surrounding whitespace. */
public data class HeaderField(
    public val name: String,
    public val value: String,
) {
    public companion object {
        private const val MAX_ASCII = 127
        private val tokenCharacters =
            BooleanArray(MAX_ASCII + 1) { it.toChar().isLetterOrDigit() || it.toChar() in "!#$%&'*+-.^_`|~" }

        /** Parses [line] without its end; returns null if it is folded or malformed. */
        public fun parse(line: String): HeaderField? {
            val colon = line.indexOf(':')
            if (colon <= 0 || !isToken(line, colon)) return null
            return HeaderField(line.substring(0, colon), line.substring(colon + 1).trim(' ', '\t'))
        }

        private fun isToken(line: String, length: Int): Boolean =
            (0 until length).all { line[it].code <= MAX_ASCII && tokenCharacters[line[it].code] }
    }
}

/** The start line and the fields of a message. */
public class MessageHead(
    public val startLine: String,
    public val fields: List<HeaderField>,
) {
    /** Returns the values of the fields [name], in any case, in order. */
    public fun values(name: String): List<String> =
        fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    public companion object {
        /** Parses [lines] without their ends, of which the first is the start line; returns null if one is malformed. */
        public fun parse(lines: List<String>): MessageHead? {
            val fields = lines.drop(1).map { HeaderField.parse(it) ?: return null }
            return MessageHead(lines.first(), fields)
        }
    }
}
