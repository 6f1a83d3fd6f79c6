package toucanrelay.core.json

/** Maximum nesting depth of a JSON document from outside this process. */
public const val MAX_JSON_NESTING_LEVELS: Int = 64

/**
 * Returns whether [text] nests arrays and objects deeper than [limit] levels.
 *
 * The parser recurses at each level, so a short body of nested brackets can overflow the stack; documents from outside
 * are therefore checked before they are parsed. Brackets within strings do not count. [text] need not be valid JSON.
 */
public fun isJsonNestedDeeperThan(text: String, limit: Int = MAX_JSON_NESTING_LEVELS): Boolean {
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
