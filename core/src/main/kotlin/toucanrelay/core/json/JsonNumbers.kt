package toucanrelay.core.json

/** Converts the text of JSON numbers; unlike conversions of the JSON library, it reads no number that overflows. */
public object JsonNumbers {
    private const val MAX_EXACT_DOUBLE = 9_007_199_254_740_992.0
    private val NUMBER = Regex("-?[0-9]+([.][0-9]+)?([eE][+-]?[0-9]+)?")

    /**
     * Returns the whole number that [text] is.
     *
     * Returns null if it is no number, has a fraction, or does not fit. One that is written with a point or an exponent
     * fits if a double represents it exactly.
     */
    public fun wholeNumberOf(text: String): Long? =
        if (NUMBER.matches(text)) text.toLongOrNull() ?: exactlyWhole(text.toDouble()) else null

    /** Returns the number that [text] is; null if it is none or too large to be finite. */
    public fun numberOf(text: String): Double? =
        text.takeIf { NUMBER.matches(it) }?.toDouble()?.takeIf { it.isFinite() }

    private fun exactlyWhole(number: Double): Long? =
        number.takeIf { it in -MAX_EXACT_DOUBLE..MAX_EXACT_DOUBLE && it % 1.0 == 0.0 }?.toLong()
}
