package toucanrelay.core.linking

/**
 * Selects the links of least cost among those offered.
 *
 * Weighted rendezvous hashing (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005): each pair of
 * endpoints draws an exponentially distributed cost whose rate is the weight of their nearness, so that a change at one
 * endpoint leaves all other pairs unchanged. It uses StrictMath, so that every process computes the same result.
 *
 * @param count number of links to select.
 */
internal class NearestSelection(
    private val count: Int,
) {
    private val costs = DoubleArray(count)
    private val indices = IntArray(count)
    private val minDraws = DoubleArray(Nearness.entries.size)
    private var size = 0

    /** The indices of the selected links, the least cost first. */
    val selected: IntArray
        get() = indices.copyOf(size)

    /** Offers the link from [entry] to [agent] as [index]. */
    fun offer(index: Int, entry: LinkEndpoint, agent: LinkEndpoint) {
        if (count == 0) return
        val nearness = entry.nearnessTo(agent)
        val draw = entry.drawFor(agent)
        if (size < count || draw > minDraws[nearness.ordinal]) insert(index, costOf(draw, nearness))
    }

    private fun insert(index: Int, cost: Double) {
        if (size == count && cost >= costs[size - 1]) return
        var position = if (size < count) size++ else size - 1
        while (position > 0 && costs[position - 1] > cost) {
            costs[position] = costs[position - 1]
            indices[position] = indices[position - 1]
            position--
        }
        costs[position] = cost
        indices[position] = index
        if (size == count) updateMinDraws()
    }

    // A draw below the minimum costs more than every selected link; this rejects most offers without a logarithm.
    private fun updateMinDraws() {
        Nearness.entries.forEach {
            minDraws[it.ordinal] =
                StrictMath.exp(-costs[count - 1] * it.weight) * ROUNDING_MARGIN
        }
    }

    private companion object {
        /** Keeps rounding of the exponential from rejecting a link that the exact comparison of costs would select. */
        const val ROUNDING_MARGIN = 1 - 1e-12

        fun costOf(draw: Double, nearness: Nearness): Double = -StrictMath.log(draw) / nearness.weight
    }
}
