package toucanrelay.core.quarantine

import toucanrelay.core.placement.PromptPartId

/** What targets may have crashed on; its text form is that of the log and the settings. */
public sealed interface Suspect {
    /** Identifier among the suspects of the same kind. */
    public val id: String

    /** A part of prompts, which requests of any caller may share. */
    public data class PromptPart(
        override val id: String,
    ) : Suspect {
        override fun toString(): String = PART_PREFIX + id
    }

    /** A request as its caller repeats it: with the same method, path and body. */
    public data class Request(
        override val id: String,
    ) : Suspect {
        override fun toString(): String = REQUEST_PREFIX + id
    }

    public companion object {
        private const val PART_PREFIX = "part:"
        private const val REQUEST_PREFIX = "request:"

        /** Returns the suspect with the text form [text], or null if it is not valid. */
        public fun parse(text: String): Suspect? =
            when {
                text.startsWith(PART_PREFIX) -> PromptPart(PromptPartId.of(text.removePrefix(PART_PREFIX)))
                text.startsWith(REQUEST_PREFIX) -> Request(text.removePrefix(REQUEST_PREFIX))
                else -> null
            }?.takeIf { it.id.isNotEmpty() }
    }
}
