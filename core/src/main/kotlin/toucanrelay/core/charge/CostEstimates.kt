package toucanrelay.core.charge

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

/**
 * Corrects the token hints of each organisation and pool by an exponentially weighted mean of the ratio of generated to
 * hinted tokens.
 */
public class CostEstimates {
    private var ratios: PersistentMap<Key, Double> = persistentMapOf()

    /** Returns the expected number of generated tokens for a request that hints [hintTokens]. */
    public fun expectedTokens(organisation: OrganisationId, pool: Pool, hintTokens: Long): Double =
        hintTokens * (ratios[Key(organisation, pool)] ?: 1.0)

    /** Records that a request that hinted [hintTokens] generated [generatedTokens]. */
    public fun recordGenerated(
        organisation: OrganisationId,
        pool: Pool,
        hintTokens: Long,
        generatedTokens: Long,
    ) {
        if (hintTokens <= 0) return
        val key = Key(organisation, pool)
        val observed = (generatedTokens.toDouble() / hintTokens).coerceIn(MIN_RATIO, MAX_RATIO)
        val previous = ratios[key] ?: 1.0
        ratios = ratios.put(key, previous + SMOOTHING_FACTOR * (observed - previous))
    }

    private data class Key(
        val organisation: OrganisationId,
        val pool: Pool,
    )

    private companion object {
        const val SMOOTHING_FACTOR = 0.125
        const val MIN_RATIO = 0.01
        const val MAX_RATIO = 20.0
    }
}
