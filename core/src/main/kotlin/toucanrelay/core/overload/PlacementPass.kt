package toucanrelay.core.overload

/**
 * Places the requests of a wait queue that targets can accept now, with bounded work.
 *
 * Requests of one organisation have similar limits, so once several of them in a row cannot be placed, their neighbours in
 * the queue would most likely not be either. Without this bound, the work of each pass grows with the length of the queue,
 * and a process that has more requests than it can serve spends its processor time on the requests that it will refuse.
 */
public object PlacementPass {
    /**
     * Calls [place] for requests in [waiting] and returns those for which it returned true.
     *
     * Each organisation's requests are tried in order until several in a row cannot be placed, and then those that are left
     * in reverse order, since the last ones differ most from the first: they have waited least and are less urgent.
     *
     * @param organisationOf returns the key of the organisation that a request counts towards.
     */
    public fun <T, K> run(waiting: List<T>, organisationOf: (T) -> K, place: (T) -> Boolean): List<T> {
        val untried = LinkedHashSet(waiting)
        return placeInOrder(waiting, organisationOf, untried, place) +
            placeInOrder(untried.toList().asReversed(), organisationOf, untried, place)
    }

    private fun <T, K> placeInOrder(
        requests: List<T>,
        organisationOf: (T) -> K,
        untried: MutableSet<T>,
        place: (T) -> Boolean,
    ): List<T> {
        val failures = HashMap<K, Int>()
        return requests.filter { request ->
            val organisation = organisationOf(request)
            val failed = failures[organisation] ?: 0
            if (failed >= MAX_FAILURES_IN_A_ROW) return@filter false
            untried.remove(request)
            val isPlaced = place(request)
            failures[organisation] = if (isPlaced) 0 else failed + 1
            isPlaced
        }
    }

    /** At each end of the queue; more than one, since prompts differ in what engines have cached of them. */
    private const val MAX_FAILURES_IN_A_ROW = 4
}
