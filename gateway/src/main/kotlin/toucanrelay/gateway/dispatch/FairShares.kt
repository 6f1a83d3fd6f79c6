package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.overload.MaxMinShare
import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.overload.UsageRate
import toucanrelay.core.time.Clock
import toucanrelay.gateway.member.FleetView

/** Tracks the organisations' rates over the fleet and their max-min fair level; refreshed at most every 100 ms. */
internal class FairShares(
    private val clock: Clock,
    private val ownUsage: OrganisationUsage,
    private val fleet: FleetView,
) {
    private var usage: Map<OrganisationId, UsageRate> = emptyMap()
    private var level = Double.POSITIVE_INFINITY
    private var configuredPerSecond: Double? = null
    private var refreshedAtMilliseconds = Long.MIN_VALUE / 2

    /** Returns the served rate of [organisation] in charged tokens per second, as of the last refresh. */
    fun servedPerSecond(organisation: OrganisationId): Double = usage[organisation]?.served ?: 0.0

    /**
     * Returns the max-min fair level of all demands, in charged tokens per second.
     *
     * It is infinite if [capacityPerSecond] covers the demands or is null.
     */
    fun levelPerSecond(capacityPerSecond: Double?): Double {
        refresh(capacityPerSecond)
        return level
    }

    /** Describes the state of the last refresh. */
    fun summary(): FairShareSummary =
        FairShareSummary(
            configuredPerSecond = configuredPerSecond,
            demandedPerSecond = usage.values.sumOf { it.demanded },
            servedPerSecond = usage.values.sumOf { it.served },
            levelPerSecond = level,
            largest =
                usage.entries
                    .sortedByDescending { it.value.demanded }
                    .take(LARGEST_IN_SUMMARY)
                    .map { OrganisationShare(it.key, it.value) },
        )

    private fun refresh(capacityPerSecond: Double?) {
        val now = clock.nowMilliseconds()
        if (now - refreshedAtMilliseconds < REFRESH_MILLISECONDS) return
        refreshedAtMilliseconds = now
        val merged = HashMap(ownUsage.snapshot())
        fleet.usage().forEach { (organisation, rate) -> merged.merge(organisation, rate, UsageRate::plus) }
        usage = merged
        configuredPerSecond = capacityPerSecond
        val demands = merged.values.map { it.demanded }
        level =
            if (capacityPerSecond == null) Double.POSITIVE_INFINITY else MaxMinShare.level(demands, capacityPerSecond)
    }

    private companion object {
        const val REFRESH_MILLISECONDS = 100L
        const val LARGEST_IN_SUMMARY = 5
    }
}
