package toucanrelay.core.overload

import toucanrelay.core.identity.OrganisationId
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

/** Measures the demanded and served rates of each organisation at this instance. */
public class OrganisationUsage(
    private val clock: Clock,
) {
    private class Rates(
        clock: Clock,
    ) {
        val demanded = DecayingRate(clock, TIME_CONSTANT_MILLISECONDS)
        val served = DecayingRate(clock, TIME_CONSTANT_MILLISECONDS)
    }

    private val rates = HashMap<OrganisationId, Rates>()

    /** Records a request of [organisation] for [chargedTokens]. */
    public fun recordDemand(organisation: OrganisationId, chargedTokens: Long) {
        ratesOf(organisation).demanded.add(chargedTokens.toDouble())
    }

    /** Records that a request of [organisation] for [chargedTokens] was sent to a target. */
    public fun recordServed(organisation: OrganisationId, chargedTokens: Long) {
        ratesOf(organisation).served.add(chargedTokens.toDouble())
    }

    /** Returns the rates of all organisations with recent demand. */
    public fun snapshot(): Map<OrganisationId, UsageRate> =
        rates
            .mapValues { (_, rates) -> UsageRate(rates.demanded.perSecond, rates.served.perSecond) }
            .filterValues { it.demanded >= MIN_TOKENS_PER_SECOND }

    private fun ratesOf(organisation: OrganisationId) = rates.getOrPut(organisation) { Rates(clock) }

    private companion object {
        const val TIME_CONSTANT_MILLISECONDS = 1_500L
        const val MIN_TOKENS_PER_SECOND = 1.0
    }
}
