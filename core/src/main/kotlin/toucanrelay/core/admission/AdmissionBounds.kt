package toucanrelay.core.admission

/**
 * Lowest and highest number of concurrent requests on a target, as configured by the operators.
 *
 * @property slots concurrent requests when warm.
 * @property coldSlots concurrent requests right after a start.
 */
public data class AdmissionBounds(
    public val slots: Int,
    public val coldSlots: Int,
) {
    init {
        require(coldSlots in 1..slots) { "cold slots must be in 1..$slots: $coldSlots" }
    }
}
