package toucanrelay.core.overload

import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId

/** Divides a capacity max-min fairly. */
public object MaxMinShare {
    /**
     * Returns the largest share that any of [demands] receives when [capacity] is divided max-min fairly.
     *
     * Smaller demands are met in full. The level is infinite when the capacity covers all demands.
     */
    public fun level(demands: Collection<Double>, capacity: Double): Double {
        if (demands.sum() <= capacity) return Double.POSITIVE_INFINITY
        var remainingCapacity = capacity
        var remainingDemands = demands.size
        for (demand in demands.sorted()) {
            val evenShare = remainingCapacity / remainingDemands
            if (demand >= evenShare) return evenShare
            remainingCapacity -= demand
            remainingDemands--
        }
        return Double.POSITIVE_INFINITY
    }

    /**
     * Returns the max-min fair level for each set of regions that [demands] names; an empty set means all regions.
     *
     * Requests of organisations that may use few regions compete with all others there. The regions whose capacity is
     * the scarcest for those that depend on them are divided first; what they leave is divided among the rest.
     *
     * @param demands rate demanded by each organisation in each set of regions.
     * @param capacities rate that the targets of each region serve.
     */
    public fun levels(demands: Map<UsageKey, Double>, capacities: Map<RegionId?, Double>): Map<Set<RegionId>, Double> {
        val open = demands.keys.mapTo(HashSet()) { it.regions }
        val remaining = HashMap(capacities)
        val levels = HashMap<Set<RegionId>, Double>()
        while (open.isNotEmpty()) {
            val tightest = (open + setOf(emptySet())).minBy { levelWithin(it, open, demands, remaining) }
            val level = levelWithin(tightest, open, demands, remaining)
            val divided = open.filter { level.isInfinite() || isWithin(it, tightest) }
            divided.forEach { levels[it] = level }
            open.removeAll(divided.toSet())
            remaining.keys.removeAll { tightest.isEmpty() || it in tightest }
        }
        return levels
    }

    /** Returns the level of the [open] demands that depend on [regions] alone. */
    private fun levelWithin(
        regions: Set<RegionId>,
        open: Set<Set<RegionId>>,
        demands: Map<UsageKey, Double>,
        capacities: Map<RegionId?, Double>,
    ): Double {
        val byOrganisation = HashMap<OrganisationId, Double>()
        demands
            .filterKeys { it.regions in open && isWithin(it.regions, regions) }
            .forEach { (key, demand) -> byOrganisation.merge(key.organisation, demand, Double::plus) }
        return level(byOrganisation.values, capacities.filterKeys { regions.isEmpty() || it in regions }.values.sum())
    }

    private fun isWithin(inner: Set<RegionId>, outer: Set<RegionId>): Boolean =
        outer.isEmpty() || (inner.isNotEmpty() && outer.containsAll(inner))
}
