package toucanrelay.core.charge

import toucanrelay.core.bundle.ServiceWeights

/**
 * The cost of a request as estimated before it runs.
 *
 * @property promptTokens estimated prompt tokens.
 * @property generatedTokens expected generated tokens; zero for a call of a plain service.
 * @property serviceCalls number of calls of a plain service.
 */
public data class CostHint(
    public val promptTokens: Double = 0.0,
    public val generatedTokens: Double = 0.0,
    public val serviceCalls: Int = 0,
) {
    /** Returns the estimated cost in service units. */
    public fun units(weights: ServiceWeights): Double =
        promptTokens * weights.promptToken + generatedTokens * weights.generatedToken +
            serviceCalls * weights.serviceCall

    public companion object {
        private const val BYTES_PER_TOKEN = 4.0

        /** Estimates the cost of a model call from the size of its body and the expected number of generated tokens. */
        public fun ofModelCall(bodyBytes: Long, generatedTokens: Double): CostHint =
            CostHint(promptTokens = bodyBytes / BYTES_PER_TOKEN, generatedTokens = generatedTokens)

        /** The cost of one call of a plain service. */
        public val ofServiceCall: CostHint = CostHint(serviceCalls = 1)
    }
}
