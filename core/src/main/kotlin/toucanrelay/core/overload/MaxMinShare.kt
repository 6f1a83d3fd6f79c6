package toucanrelay.core.overload

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
}
