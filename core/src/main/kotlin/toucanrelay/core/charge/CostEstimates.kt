package toucanrelay.core.charge

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool

/**
 * Learns how far the hints of each organisation are off, by an exponentially weighted mean of the ratio of generated to
 * hinted tokens.
 */
public class CostEstimates {
    private var ratios: PersistentMap<Key, Double> = persistentMapOf()

    /** The generated tokens to expect of a request with this [hintTokens]. */
    public fun expectedTokens(organisation: OrganisationId, pool: Pool, hintTokens: Long): Double =
        hintTokens * (ratios[Key(organisation, pool)] ?: 1.0)

    /** Notes that a request with this [hintTokens] generated [generatedTokens]. */
    public fun observe(
        organisation: OrganisationId,
        pool: Pool,
        hintTokens: Long,
        generatedTokens: Long,
    ) {
        if (hintTokens <= 0) return
        val key = Key(organisation, pool)
        val observed = (generatedTokens.toDouble() / hintTokens).coerceIn(MINIMUM_RATIO, MAXIMUM_RATIO)
        val known = ratios[key] ?: 1.0
        ratios = ratios.put(key, known + WEIGHT_OF_NEWEST * (observed - known))
    }

    private data class Key(
        val organisation: OrganisationId,
        val pool: Pool,
    )

    private companion object {
        const val WEIGHT_OF_NEWEST = 0.125
        const val MINIMUM_RATIO = 0.01
        const val MAXIMUM_RATIO = 20.0
    }
}
