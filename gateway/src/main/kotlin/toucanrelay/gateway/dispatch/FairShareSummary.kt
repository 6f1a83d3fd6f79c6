package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.overload.UsageRate

/** Rates of one organisation over the fleet, in charged tokens per second. */
internal class OrganisationShare(
    val organisation: OrganisationId,
    val rate: UsageRate,
) {
    override fun toString(): String = "${organisation.value} ${rate.served.toLong()}/${rate.demanded.toLong()}"
}

/**
 * What a gateway knows of the division of the engines' throughput, for the log and the metrics.
 *
 * All rates are in charged tokens per second.
 *
 * @property demandedPerSecond rate that all organisations demand.
 * @property servedPerSecond rate that all organisations are served.
 * @property levelPerSecond lowest max-min fair level of any set of regions; infinite while all demands are covered.
 * @property largest the organisations with the highest demands.
 */
internal class FairShareSummary(
    val demandedPerSecond: Double,
    val servedPerSecond: Double,
    val levelPerSecond: Double,
    val largest: List<OrganisationShare>,
)
