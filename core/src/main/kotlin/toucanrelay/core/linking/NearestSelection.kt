package toucanrelay.core.linking

/**
 * Keeps the links of least cost among those offered.
 *
 * Weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005): each pair of ends
 * draws an exponentially distributed cost whose rate is the weight of their nearness, so that a change at one end leaves
 * all other pairs as they are. The mathematics is strict, so that every process reaches the same result.
 *
 * @param count how many are kept.
 */
internal class NearestSelection(
    private val count: Int,
) {
    private val costs = DoubleArray(count)
    private val numbers = IntArray(count)
    private val leastDraws = DoubleArray(Nearness.entries.size)
    private var size = 0

    /** The numbers of the links kept, the least cost first. */
    val chosen: IntArray
        get() = numbers.copyOf(size)

    /** Offers the link from [entry] to [agent] under [number]. */
    fun offer(number: Int, entry: LinkEnd, agent: LinkEnd) {
        if (count == 0) return
        val nearness = entry.nearnessTo(agent)
        val draw = entry.drawFor(agent)
        if (size < count || draw > leastDraws[nearness.ordinal]) insert(number, costOf(draw, nearness))
    }

    private fun insert(number: Int, cost: Double) {
        if (size == count && cost >= costs[size - 1]) return
        var position = if (size < count) size++ else size - 1
        while (position > 0 && costs[position - 1] > cost) {
            costs[position] = costs[position - 1]
            numbers[position] = numbers[position - 1]
            position--
        }
        costs[position] = cost
        numbers[position] = number
        if (size == count) updateLeastDraws()
    }

    // A draw below these costs more than all that are kept; most offers end there without a logarithm.
    private fun updateLeastDraws() {
        Nearness.entries.forEach { leastDraws[it.ordinal] = StrictMath.exp(-costs[count - 1] * it.weight) * MARGIN }
    }

    private companion object {
        /** Rounding of the exponential must not exclude what the exact comparison of costs would keep. */
        const val MARGIN = 1 - 1e-12

        fun costOf(draw: Double, nearness: Nearness): Double = -StrictMath.log(draw) / nearness.weight
    }
}
