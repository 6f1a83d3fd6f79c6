package toucanrelay.core.placement

import java.security.MessageDigest
import java.util.HexFormat

/** Identifiers of prompt parts, whose size does not depend on what callers choose. */
public object PromptPartId {
    /** Largest number of characters of an identifier. */
    public const val MAX_CHARACTERS: Int = 32
    private const val HASH_ALGORITHM = "SHA-256"

    /** Returns the identifier for the id [stated] by a caller: the same one, or the start of its hash if it is long. */
    public fun of(stated: String): String {
        if (stated.length <= MAX_CHARACTERS) return stated
        val hash = MessageDigest.getInstance(HASH_ALGORITHM).digest(stated.toByteArray())
        return HexFormat.of().formatHex(hash).take(MAX_CHARACTERS)
    }
}
