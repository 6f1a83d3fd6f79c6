package toucanrelay.gateway.dispatch

import toucanrelay.core.charge.CostEstimates
import toucanrelay.core.configuration.Route
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.placement.PromptProfile
import toucanrelay.gateway.http.CallerRequest

/** Estimates output lengths from callers' hints and the lengths observed for each route and organisation. */
internal class OutputEstimates {
    private val estimates = CostEstimates()

    /** Returns [prompt] with the output length expected for a request of [organisation] on [route]. */
    fun refine(prompt: PromptProfile, route: Route, organisation: OrganisationId): PromptProfile {
        val expected = estimates.expectedTokens(organisation, poolOf(route, prompt), prompt.outputHint.toLong())
        return prompt.copy(expectedOutputTokens = minOf(prompt.maxOutputTokens, expected.toInt()).coerceAtLeast(1))
    }

    /** Records that [request] ran to its end and generated [events] in total. */
    fun recordOutput(request: CallerRequest, events: Long) {
        val prompt = request.prompt ?: return
        val tokens = events * (request.service.engine?.tokensPerEvent ?: 1)
        estimates.recordGenerated(request.account, poolOf(request.route, prompt), prompt.outputHint.toLong(), tokens)
    }

    /** Returns the pool of [route]; requests without a hint, which give only a maximum, have a pool of their own. */
    private fun poolOf(route: Route, prompt: PromptProfile) =
        Pool.named(if (prompt.hintedOutputTokens == null) route.name + MAXIMUM_SUFFIX else route.name)

    private companion object {
        const val MAXIMUM_SUFFIX = "#maximum"
    }
}
