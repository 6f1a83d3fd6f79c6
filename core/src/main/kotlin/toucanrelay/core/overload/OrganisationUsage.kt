package toucanrelay.core.overload

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.statistics.DecayingRate
import toucanrelay.core.time.Clock

/**
 * An organisation's recent use of the engines, in charged tokens a second.
 *
 * @property demanded what its requests asked for, refused ones among them.
 * @property served what was sent to targets.
 */
public data class UsageRate(
    public val demanded: Double,
    public val served: Double,
) {
    /** Both uses together. */
    public operator fun plus(other: UsageRate): UsageRate = UsageRate(demanded + other.demanded, served + other.served)

    public companion object {
        /** No use. */
        public val NONE: UsageRate = UsageRate(0.0, 0.0)
    }
}

/** Measures what organisations ask for and get at this instance. */
public class OrganisationUsage(
    private val clock: Clock,
) {
    private class Rates(
        clock: Clock,
    ) {
        val demanded = DecayingRate(clock, MEMORY_MILLISECONDS)
        val served = DecayingRate(clock, MEMORY_MILLISECONDS)
    }

    private val rates = HashMap<OrganisationId, Rates>()

    /** Notes a request of [organisation] for [chargedTokens]. */
    public fun noteDemand(organisation: OrganisationId, chargedTokens: Long) {
        ratesOf(organisation).demanded.add(chargedTokens.toDouble())
    }

    /** Notes that a request of [organisation] for [chargedTokens] was sent to a target. */
    public fun noteServed(organisation: OrganisationId, chargedTokens: Long) {
        ratesOf(organisation).served.add(chargedTokens.toDouble())
    }

    /** The rates of all organisations that used anything lately. */
    public fun snapshot(): Map<OrganisationId, UsageRate> =
        rates
            .mapValues { (_, of) -> UsageRate(of.demanded.perSecond, of.served.perSecond) }
            .filterValues { it.demanded >= LEAST_TOKENS_PER_SECOND }

    private fun ratesOf(organisation: OrganisationId) = rates.getOrPut(organisation) { Rates(clock) }

    private companion object {
        const val MEMORY_MILLISECONDS = 1_500L
        const val LEAST_TOKENS_PER_SECOND = 1.0
    }
}
