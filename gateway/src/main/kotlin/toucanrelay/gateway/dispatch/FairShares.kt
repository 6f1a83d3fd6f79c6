package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.overload.MaxMinShare
import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.overload.SpareCapacityTurns
import toucanrelay.core.overload.UsageKey
import toucanrelay.core.overload.UsageRate
import toucanrelay.core.placement.Candidate
import toucanrelay.core.time.Clock
import toucanrelay.gateway.member.FleetView

/**
 * Tracks the organisations' rates over the fleet and their max-min fair levels; refreshed at most every 100 ms.
 *
 * The levels divide what the engines really serve. A configured throughput would not do: engines also serve prompt parts
 * that they have cached, and targets crash, are slow or leave while it stays the same.
 */
internal class FairShares(
    private val clock: Clock,
    private val ownUsage: OrganisationUsage,
    private val fleet: FleetView,
    private val turns: SpareCapacityTurns,
) {
    private var usage: Map<OrganisationId, UsageRate> = emptyMap()
    private var levels: Map<Set<RegionId>, Double> = emptyMap()
    private var refreshedAtMilliseconds = Long.MIN_VALUE / 2

    /** Returns the served rate of [organisation] in charged tokens per second, as of the last refresh. */
    fun servedPerSecond(organisation: OrganisationId): Double = usage[organisation]?.served ?: 0.0

    /**
     * Returns the max-min fair level of the organisations whose requests [regions] may serve, in charged tokens per second.
     *
     * It is infinite while the demands are covered.
     *
     * @param regions empty for all regions.
     */
    fun levelPerSecond(regions: Set<RegionId>): Double {
        refresh()
        return levels[regions] ?: Double.POSITIVE_INFINITY
    }

    /** Returns those of [targets] on which this gateway may place a request of [organisation] now. */
    fun inTurn(targets: List<Candidate>, organisation: OrganisationId, regions: Set<RegionId>): List<Candidate> {
        val level = levelPerSecond(regions)
        val usedShare = if (level > 0) servedPerSecond(organisation) / level else 0.0
        if (usedShare <= 1) return targets
        val turn = turns.now(fleet.size, usedShare)
        return targets.filter { turn.includes(it.hash) }
    }

    /** Describes the present rates and levels. */
    fun summary(): FairShareSummary {
        refresh()
        return FairShareSummary(
            demandedPerSecond = usage.values.sumOf { it.demanded },
            servedPerSecond = usage.values.sumOf { it.served },
            levelPerSecond = levels.values.minOrNull() ?: Double.POSITIVE_INFINITY,
            largest =
                usage.entries
                    .sortedByDescending { it.value.demanded }
                    .take(LARGEST_IN_SUMMARY)
                    .map { OrganisationShare(it.key, it.value) },
        )
    }

    private fun refresh() {
        val now = clock.nowMilliseconds()
        if (now - refreshedAtMilliseconds < REFRESH_MILLISECONDS) return
        refreshedAtMilliseconds = now
        val byKey = HashMap(ownUsage.snapshot())
        fleet.usage().forEach { (key, rate) -> byKey.merge(key, rate, UsageRate::plus) }
        usage = sumByOrganisation(byKey)
        levels = MaxMinShare.levels(byKey.mapValues { it.value.demanded }, capacities())
    }

    private fun sumByOrganisation(byKey: Map<UsageKey, UsageRate>): Map<OrganisationId, UsageRate> {
        val sums = HashMap<OrganisationId, UsageRate>()
        byKey.forEach { (key, rate) -> sums.merge(key.organisation, rate, UsageRate::plus) }
        return sums
    }

    /** Returns what the engines of each region can serve: slightly more than they do. */
    private fun capacities(): Map<RegionId?, Double> {
        val served = HashMap(ownUsage.servedByRegion())
        fleet.servedByRegion().forEach { (region, rate) -> served.merge(region, rate, Double::plus) }
        return served.mapValues { it.value * CAPACITY_HEADROOM_FACTOR }
    }

    private companion object {
        const val REFRESH_MILLISECONDS = 100L
        const val LARGEST_IN_SUMMARY = 5

        /** Requests on their way to a target are demanded and not served yet, which must not look like an overload. */
        const val CAPACITY_HEADROOM_FACTOR = 1.1
    }
}
