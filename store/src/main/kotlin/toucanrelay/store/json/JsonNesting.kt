package toucanrelay.store.json

/** Levels of nesting that a document from outside may have. */
public const val MOST_JSON_NESTING: Int = 64

/**
 * Tells whether [text] nests arrays and objects deeper than [limit] levels.
 *
 * The parser recurses for each level, so a document from outside is checked before it is parsed: without a limit a short
 * body overflows the stack. Brackets within strings do not count. The text need not be valid JSON.
 */
public fun isJsonNestedDeeperThan(text: String, limit: Int = MOST_JSON_NESTING): Boolean {
    var depth = 0
    var isInString = false
    var isEscaped = false
    for (character in text) {
        when {
            isEscaped -> isEscaped = false
            isInString && character == '\\' -> isEscaped = true
            character == '"' -> isInString = !isInString
            isInString -> Unit
            character == '[' || character == '{' -> if (++depth > limit) return true
            character == ']' || character == '}' -> depth--
        }
    }
    return false
}
