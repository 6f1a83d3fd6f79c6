package toucanrelay.core.admission

/**
 * The lowest and highest limit on the concurrent requests of a target, as signed by the operators.
 *
 * @property slots maximum number of concurrent requests when warm.
 * @property coldSlots maximum number of concurrent requests right after a start.
 */
public data class AdmissionBounds(
    public val slots: Int,
    public val coldSlots: Int,
) {
    init {
        require(coldSlots in 1..slots) { "cold slots must be in 1..$slots: $coldSlots" }
    }
}
