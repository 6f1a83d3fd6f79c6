package toucanrelay.core.charge

import toucanrelay.core.bundle.ServiceWeights

/**
 * The charge of one request: taken from the hint at its start, raised when the answer outgrows the hint, and set to the
 * true cost at its end.
 *
 * Each function returns the difference to add to the organisation's service. The sum of all returned differences is
 * the request's charge.
 *
 * @param weights how tokens become service units.
 * @param hint what is known before the request runs.
 */
public class RequestCharge(
    private val weights: ServiceWeights,
    private val hint: CostHint,
) {
    private var charged = 0.0
    private var generatedTokens = 0L

    /** Service units charged so far. */
    public val units: Double
        get() = charged

    /** Charges the hint when an attempt starts. */
    public fun start(): Double = chargeUpTo(hint.units(weights))

    /** Notes [tokens] more generated tokens; the charge follows in steps once they exceed the hint. */
    public fun generated(tokens: Int): Double {
        generatedTokens += tokens
        val soFar = soFarUnits()
        return if (soFar >= charged + CORRECTION_STEP_TOKENS * weights.generatedToken) chargeUpTo(soFar) else 0.0
    }

    /** Sets the charge to the cost that the target reported. */
    public fun settle(promptTokens: Long, generatedTokens: Long): Double =
        chargeUpTo(promptTokens * weights.promptToken + generatedTokens * weights.generatedToken)

    /** Sets the charge to what is known to have been given, for an answer without a report of its cost. */
    public fun settleUnreported(): Double =
        when {
            hint.serviceCalls > 0 -> chargeUpTo(hint.units(weights))
            else -> chargeUpTo(soFarUnits())
        }

    /** Takes the charge back when it is proved that nothing ran. */
    public fun refund(): Double {
        generatedTokens = 0
        return chargeUpTo(0.0)
    }

    private fun soFarUnits(): Double =
        hint.promptTokens * weights.promptToken + generatedTokens * weights.generatedToken

    private fun chargeUpTo(total: Double): Double {
        val difference = total - charged
        charged = total
        return difference
    }

    private companion object {
        const val CORRECTION_STEP_TOKENS = 16
    }
}
