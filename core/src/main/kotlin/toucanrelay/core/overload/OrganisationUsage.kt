package toucanrelay.core.overload

import toucanrelay.core.identity.RegionId
import toucanrelay.core.statistics.DecayingRate
import toucanrelay.core.time.Clock

/**
 * An organisation's recent use of the engines, in charged tokens per second.
 *
 * @property demanded tokens of all its requests, including refused ones.
 * @property served tokens of the requests that were sent to targets.
 */
public data class UsageRate(
    public val demanded: Double,
    public val served: Double,
) {
    /** Returns the sum of both rates. */
    public operator fun plus(other: UsageRate): UsageRate = UsageRate(demanded + other.demanded, served + other.served)

    public companion object {
        /** Zero rates. */
        public val NONE: UsageRate = UsageRate(0.0, 0.0)
    }
}

/** Measures the demanded and served rates of each organisation, and the served rate of each region, at this instance. */
public class OrganisationUsage(
    private val clock: Clock,
) {
    private class Rates(
        clock: Clock,
    ) {
        val demanded = DecayingRate(clock, TIME_CONSTANT_MILLISECONDS)
        val served = DecayingRate(clock, TIME_CONSTANT_MILLISECONDS)
    }

    private val rates = HashMap<UsageKey, Rates>()
    private val servedByRegion = HashMap<RegionId?, DecayingRate>()

    /** Records a request of [key] for [chargedTokens]. */
    public fun recordDemand(key: UsageKey, chargedTokens: Long) {
        ratesOf(key).demanded.add(chargedTokens.toDouble())
    }

    /** Records that a request of [key] for [chargedTokens] was sent to a target in [region]; null if it is unknown. */
    public fun recordServed(key: UsageKey, chargedTokens: Long, region: RegionId? = null) {
        ratesOf(key).served.add(chargedTokens.toDouble())
        servedByRegion
            .getOrPut(region) { DecayingRate(clock, TIME_CONSTANT_MILLISECONDS) }
            .add(chargedTokens.toDouble())
    }

    /** Returns the rates of all organisations with recent demand. */
    public fun snapshot(): Map<UsageKey, UsageRate> =
        rates
            .mapValues { (_, rates) -> UsageRate(rates.demanded.perSecond, rates.served.perSecond) }
            .filterValues { it.demanded >= MIN_TOKENS_PER_SECOND }

    /** Returns the tokens per second sent to the targets of each region. */
    public fun servedByRegion(): Map<RegionId?, Double> = servedByRegion.mapValues { (_, rate) -> rate.perSecond }

    private fun ratesOf(key: UsageKey) = rates.getOrPut(key) { Rates(clock) }

    private companion object {
        const val TIME_CONSTANT_MILLISECONDS = 1_500L
        const val MIN_TOKENS_PER_SECOND = 1.0
    }
}
