package toucanrelay.core.admission

/**
 * How many requests a target bears at once, as the operators signed it off.
 *
 * @property slots requests when warm.
 * @property coldSlots requests when freshly started.
 */
public data class AdmissionTerms(
    public val slots: Int,
    public val coldSlots: Int,
) {
    init {
        require(coldSlots in 1..slots) { "cold slots must lie in 1..$slots: $coldSlots" }
    }
}
