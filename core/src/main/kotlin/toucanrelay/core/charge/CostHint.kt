package toucanrelay.core.charge

import toucanrelay.core.bundle.ServiceWeights

/**
 * What is known of a request's cost before it runs.
 *
 * @property promptTokens estimated tokens of the prompt.
 * @property generatedTokens expected generated tokens; zero for a call of a plain service.
 * @property serviceCalls calls of a plain service.
 */
public data class CostHint(
    public val promptTokens: Double = 0.0,
    public val generatedTokens: Double = 0.0,
    public val serviceCalls: Int = 0,
) {
    /** The expected service in service units. */
    public fun units(weights: ServiceWeights): Double =
        promptTokens * weights.promptToken + generatedTokens * weights.generatedToken +
            serviceCalls * weights.serviceCall

    public companion object {
        private const val BYTES_PER_TOKEN = 4.0

        /** The hint of a model call from the size of its body and the expected number of generated tokens. */
        public fun ofModelCall(bodyBytes: Long, generatedTokens: Double): CostHint =
            CostHint(promptTokens = bodyBytes / BYTES_PER_TOKEN, generatedTokens = generatedTokens)

        /** The hint of one call of a plain service. */
        public val ofServiceCall: CostHint = CostHint(serviceCalls = 1)
    }
}
