package toucanrelay.core.charge

import toucanrelay.core.bundle.ServiceWeights

/**
 * The charge of one request: the estimate at its start, raised when the answer exceeds the estimate, and corrected to
 * the actual cost at its end.
 *
 * Each function returns the difference to add to the organisation's account. The sum of all returned differences is
 * the request's charge.
 *
 * @param weights conversion of tokens into service units.
 * @param hint the cost estimated before the request runs.
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

    /** Charges the estimated cost when an attempt starts. */
    public fun start(): Double = chargeUpTo(hint.units(weights))

    /** Adds [tokens] generated tokens; the charge is raised in steps once they exceed the estimate. */
    public fun addGenerated(tokens: Int): Double {
        generatedTokens += tokens
        val counted = countedUnits()
        return if (counted >= charged + CORRECTION_STEP_TOKENS * weights.generatedToken) chargeUpTo(counted) else 0.0
    }

    /** Sets the charge to the cost that the target reported. */
    public fun settle(promptTokens: Long, generatedTokens: Long): Double =
        chargeUpTo(promptTokens * weights.promptToken + generatedTokens * weights.generatedToken)

    /** Sets the charge from the hint and the counted tokens, for an answer whose cost the target did not report. */
    public fun settleUnreported(): Double =
        when {
            hint.serviceCalls > 0 -> chargeUpTo(hint.units(weights))
            else -> chargeUpTo(countedUnits())
        }

    /** Refunds the whole charge when the request provably did not run. */
    public fun refund(): Double {
        generatedTokens = 0
        return chargeUpTo(0.0)
    }

    private fun countedUnits(): Double =
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
