package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.overload.MaxMinShare
import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.overload.UsageRate
import toucanrelay.core.time.Clock
import toucanrelay.gateway.member.FleetView

/** What organisations get over the whole fleet, against their max-min share; refreshed several times a second. */
internal class FairShares(
    private val clock: Clock,
    private val own: OrganisationUsage,
    private val fleet: FleetView,
) {
    private var usage: Map<OrganisationId, UsageRate> = emptyMap()
    private var level = Double.POSITIVE_INFINITY
    private var refreshedAtMilliseconds = Long.MIN_VALUE / 2

    /** What [organisation] gets now, in charged tokens a second. */
    fun servedPerSecond(organisation: OrganisationId): Double = usage[organisation]?.served ?: 0.0

    /** The max-min level of all demands on [capacityPerSecond]; infinite when the capacity covers them. */
    fun levelPerSecond(capacityPerSecond: Double?): Double {
        refresh(capacityPerSecond)
        return level
    }

    private fun refresh(capacityPerSecond: Double?) {
        val now = clock.nowMilliseconds()
        if (now - refreshedAtMilliseconds < REFRESH_MILLISECONDS) return
        refreshedAtMilliseconds = now
        val merged = HashMap(own.snapshot())
        fleet.usage().forEach { (organisation, rate) -> merged.merge(organisation, rate, UsageRate::plus) }
        usage = merged
        val demands = merged.values.map { it.demanded }
        level =
            if (capacityPerSecond == null) Double.POSITIVE_INFINITY else MaxMinShare.level(demands, capacityPerSecond)
    }

    private companion object {
        const val REFRESH_MILLISECONDS = 100L
    }
}
