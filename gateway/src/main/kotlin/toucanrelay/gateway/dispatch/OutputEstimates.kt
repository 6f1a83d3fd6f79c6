package toucanrelay.gateway.dispatch

import toucanrelay.core.charge.CostEstimates
import toucanrelay.core.configuration.Route
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.placement.PromptProfile
import toucanrelay.gateway.http.CallerRequest

/** Learns, for each route and organisation, how far callers' hints about the length of the output are off. */
internal class OutputEstimates {
    private val estimates = CostEstimates()

    /** [prompt] with the output that a request of [organisation] on [route] will probably have. */
    fun refine(prompt: PromptProfile, route: Route, organisation: OrganisationId): PromptProfile {
        val expected = estimates.expectedTokens(organisation, poolOf(route, prompt), prompt.outputHint.toLong())
        return prompt.copy(expectedOutputTokens = minOf(prompt.maximumOutputTokens, expected.toInt()).coerceAtLeast(1))
    }

    /** Notes that [request] generated [events] from its beginning to its end. */
    fun observe(request: CallerRequest, events: Long) {
        val prompt = request.prompt ?: return
        val tokens = events * (request.service.engine?.tokensPerEvent ?: 1)
        estimates.observe(request.account, poolOf(request.route, prompt), prompt.outputHint.toLong(), tokens)
    }

    /** Hints and maxima are learned apart. */
    private fun poolOf(route: Route, prompt: PromptProfile) =
        Pool.named(if (prompt.hintedOutputTokens == null) route.name + MAXIMUM_SUFFIX else route.name)

    private companion object {
        const val MAXIMUM_SUFFIX = "#maximum"
    }
}
