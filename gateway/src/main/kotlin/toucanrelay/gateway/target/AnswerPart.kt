package toucanrelay.gateway.target

/**
 * Parts of a target's answer whose size is limited, so that one without an end is detected and takes bounded memory.
 *
 * @property label value of the counter's tag.
 * @property maxBytes the limit on the part's size.
 */
internal enum class AnswerPart(
    val label: String,
    val maxBytes: Int,
) {
    /** The status line and the header lines, including informational responses before the final one. */
    HEAD("head", 65_536),

    /** A body that is passed on as a whole. */
    BODY("body", 8 * 1_024 * 1_024),

    /** One event of a stream. */
    EVENT("event", 1_024 * 1_024),
    ;

    /** Text for the log that says what is wrong with an answer in which this part is too large. */
    val tooLargeDetail: String
        get() = "answer is invalid: $label exceeds $maxBytes bytes"
}
