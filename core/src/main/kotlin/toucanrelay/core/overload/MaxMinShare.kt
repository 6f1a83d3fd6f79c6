package toucanrelay.core.overload

/** Max-min fair division of a capacity. */
public object MaxMinShare {
    /**
     * The largest share that any of [demands] gets when [capacity] is divided max-min fairly.
     *
     * Whoever asks for less than that gets all it asks for; infinite when the capacity covers all demands.
     */
    public fun level(demands: Collection<Double>, capacity: Double): Double {
        if (demands.sum() <= capacity) return Double.POSITIVE_INFINITY
        var left = capacity
        var remaining = demands.size
        for (demand in demands.sorted()) {
            val even = left / remaining
            if (demand >= even) return even
            left -= demand
            remaining--
        }
        return Double.POSITIVE_INFINITY
    }
}
